#include "sender.h"

#include "answer_check.h"

#include <nlohmann/json.hpp>

namespace wagtailhead::load {

namespace {

/// Distinct items that reads ask for; a shop has some hundreds of popular ones.
constexpr int itemCount = 500;

/// Lines of an order; gives a body of a few hundred bytes.
constexpr int orderLines = 6;

auto weightsOf(const RequestKinds& kinds) -> std::vector<double>
{
    std::vector<double> weights;
    for (const auto& kind : kinds) {
        weights.push_back(kind.weight_);
    }
    return weights;
}

auto orderBody(const std::string& key) -> std::string
{
    nlohmann::json body { { "order", key }, { "lines", nlohmann::json::array() } };
    for (int i = 0; i < orderLines; ++i) {
        body["lines"].push_back({ { "item", "item-" + std::to_string(i) }, { "count", i + 1 } });
    }
    return body.dump();
}

/// Returns whether a caller repeats after this end: everything but a success and its own mistake.
auto isRepeated(const AttemptRecord& attempt, int status) -> bool
{
    constexpr int firstClientError = 400;
    constexpr int firstServerError = 500;
    const bool ownMistake = status >= firstClientError && status < firstServerError;
    return attempt.end_ != AttemptEnd::Completed && !ownMistake;
}

} // namespace

auto SenderProgress::operator+=(const SenderProgress& other) -> SenderProgress&
{
    begun_ += other.begun_;
    ended_ += other.ended_;
    good_ += other.good_;
    inFlight_ += other.inFlight_;
    return *this;
}

Sender::Sender(asio::io_context& context, HttpClient& client, const SenderOptions& options)
    : context_(context)
    , client_(client)
    , options_(options)
    , arrivals_(options.plan_.phases_, options.seed_)
    , picker_(options.nodes_, options.seed_ + 1)
    , random_(options.seed_ + 2)
    , timer_(context)
{
    const auto weights = weightsOf(options.plan_.kinds_);
    kinds_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
}

auto Sender::start(TimePoint begin, std::function<void()> onDone) -> void
{
    begin_ = begin;
    onDone_ = std::move(onDone);
    scheduleNext();
}

auto Sender::scheduleNext() -> void
{
    const auto next = arrivals_.next();
    if (!next) {
        allArrived_ = true;
        endIfIdle();
        return;
    }
    const auto intended = begin_ + *next;
    timer_.expires_at(intended);
    timer_.async_wait([this, intended](const std::error_code& error) {
        if (!error) {
            arrive(intended);
            scheduleNext();
        }
    });
}

auto Sender::arrive(TimePoint intended) -> void
{
    auto open = std::make_shared<Open>();
    open->index_ = records_.size();
    open->node_ = picker_.first();
    const auto kind = kinds_(random_);
    open->request_
        = makeRequest(options_.plan_.kinds_[kind], options_.nodes_[open->node_].region_, records_.size());
    records_.push_back({ static_cast<std::uint32_t>(kind), intended,
        findHeader(open->request_.headers_, "Idempotency-Key").value_or(""), {}, true });
    ++begun_;
    send(open);
}

auto Sender::makeRequest(const RequestKind& kind, const std::string& region, std::size_t number)
    -> HttpRequest
{
    const auto marker = options_.runId_ + "-" + std::to_string(number);
    HttpRequest request { kind.method_, "/" + kind.service_ + kind.path_, {}, "" };
    request.headers_.emplace_back(
        "Wagtailhead-Deadline-Ms", std::to_string(options_.plan_.callers_.deadline_.count()));
    if (kind.keyed_) {
        const auto key = region + ":" + marker;
        request.headers_.emplace_back("Idempotency-Key", key);
        request.headers_.emplace_back("Content-Type", "application/json");
        request.body_ = orderBody(key);
        return request;
    }
    if (const auto at = request.target_.find("{}"); at != std::string::npos) {
        const auto item = std::uniform_int_distribution(1, itemCount)(random_);
        request.target_.replace(at, 2, std::to_string(item));
    }
    request.target_ += "?load=" + marker;
    return request;
}

auto Sender::send(const OpenPtr& open) -> void
{
    auto& attempts = records_[open->index_].attempts_;
    AttemptRecord attempt;
    attempt.sent_ = attempt.ended_ = Clock::now();
    attempts.push_back(attempt);
    if (inFlight_ >= options_.maxInFlight_) {
        attempts.back().reason_ = "sender-full";
        end(open);
        return;
    }
    ++inFlight_;
    client_.send(options_.nodes_[open->node_].http_, open->request_, options_.plan_.callers_.timeout_,
        [this, open](const HttpResult& result) {
            finished(open, result);
        });
}

auto Sender::finished(const OpenPtr& open, const HttpResult& result) -> void
{
    --inFlight_;
    auto& record = records_[open->index_];
    auto& attempt = record.attempts_.back();
    const auto sent = attempt.sent_;
    attempt = readAnswer(result);
    attempt.sent_ = sent;
    attempt.ended_ = Clock::now();
    const auto* response = std::get_if<HttpResponse>(&result);
    if (attempt.end_ == AttemptEnd::Completed) {
        const auto path = std::string_view(open->request_.target_)
                              .substr(options_.plan_.kinds_[record.kind_].service_.size() + 1);
        record.whole_ = belongsTo(response->body_, record.key_, path);
    }
    const bool attemptsLeft
        = record.attempts_.size() < static_cast<std::size_t>(options_.plan_.callers_.attempts_);
    if (attemptsLeft && isRepeated(attempt, response != nullptr ? response->status_ : 0)) {
        repeatLater(open);
    } else {
        end(open);
    }
}

auto Sender::repeatLater(const OpenPtr& open) -> void
{
    open->node_ = picker_.repeat(open->node_, options_.plan_.callers_.repeatThrough_);
    const auto factor = std::uniform_real_distribution(0.5, 1.5)(random_);
    const auto pause = std::chrono::duration_cast<Duration>(options_.plan_.callers_.backoff_ * factor);
    const auto timer = std::make_shared<asio::steady_timer>(context_, pause);
    timer->async_wait([this, open, timer](const std::error_code&) {
        send(open);
    });
}

auto Sender::end(const OpenPtr& open) -> void
{
    ++ended_;
    good_ += records_[open->index_].isGood() ? 1 : 0;
    endIfIdle();
}

auto Sender::endIfIdle() -> void
{
    if (allArrived_ && ended_ == begun_ && onDone_) {
        std::exchange(onDone_, nullptr)();
    }
}

auto Sender::progress() const -> SenderProgress
{
    return { begun_, ended_, good_, inFlight_ };
}

auto Sender::records() const -> const Records&
{
    return records_;
}

} // namespace wagtailhead::load
