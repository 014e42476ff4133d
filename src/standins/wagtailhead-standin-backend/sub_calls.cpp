#include "sub_calls.h"

namespace wagtailhead::standin {

namespace {

/// At its deadline an execution is cancelled, which ends its sub-calls. Their own timeout comes later, since
/// it would make the execution count as failed.
constexpr auto deadlineMargin = seconds(1);

auto failureName(HttpFailure failure) -> const char*
{
    switch (failure) {
    case HttpFailure::NotSent:
        return "not-sent";
    case HttpFailure::Lost:
        return "lost";
    case HttpFailure::Timeout:
        return "timeout";
    case HttpFailure::Cancelled:
        break;
    }
    return "cancelled";
}

} // namespace

SubCallSet::SubCallSet(HttpClient& client, const SubCallOptions& options, std::vector<SubCall> calls,
    SubCallParent parent, Callback callback)
    : client_(client)
    , options_(options)
    , parent_(std::move(parent))
    , callback_(std::move(callback))
    , requests_(calls.size())
{
    for (auto& call : calls) {
        outcomes_.push_back({ std::move(call), 0, 0, "", "" });
    }
}

auto SubCallSet::start() -> void
{
    const std::size_t first = options_.parallel_ ? outcomes_.size() : 1;
    for (std::size_t i = 0; i < first; ++i) {
        send(i);
    }
}

auto SubCallSet::cancel() -> void
{
    ended_ = true;
    for (auto& id : requests_) {
        if (id != 0) {
            client_.cancel(id);
            id = 0;
        }
    }
}

auto SubCallSet::request(std::size_t index) const -> HttpRequest
{
    const auto& call = outcomes_[index].call_;
    HttpRequest request { call.method_, "/" + call.service_ + call.path_, {}, "" };
    if (!parent_.contextToken_.empty()) {
        request.headers_.emplace_back("Wagtailhead-Context", parent_.contextToken_);
    }
    if (call.method_ != "GET") {
        request.headers_.emplace_back("Content-Type", "application/json");
        request.body_ = subCallBody(options_.service_, parent_.identity_, index);
    }
    return request;
}

auto SubCallSet::send(std::size_t index) -> void
{
    ++outcomes_[index].attempts_;
    const auto timeout = std::max(parent_.deadline_ - Clock::now(), Duration::zero()) + deadlineMargin;
    requests_[index] = client_.send(options_.address_, request(index), timeout,
        [self = shared_from_this(), index](const HttpResult& result) {
            self->finished(index, result);
        });
}

auto SubCallSet::finished(std::size_t index, const HttpResult& result) -> void
{
    if (ended_) {
        return;
    }
    requests_[index] = 0;
    auto& outcome = outcomes_[index];
    if (outcome.attempts_ > 1) {
        outcome.earlierReasons_.push_back(outcome.reason_);
    }
    if (const auto* response = std::get_if<HttpResponse>(&result)) {
        outcome.status_ = response->status_;
        outcome.outcome_ = findHeader(response->headers_, "Wagtailhead-Outcome").value_or("");
        outcome.reason_ = findHeader(response->headers_, "Wagtailhead-Reason").value_or("");
    } else {
        outcome.status_ = 0;
        outcome.outcome_.clear();
        outcome.reason_ = failureName(std::get<HttpFailure>(result));
    }
    if (!outcome.succeeded()) {
        mayRepeat(outcome) ? send(index) : complete();
        return;
    }
    ++succeeded_;
    if (succeeded_ == outcomes_.size()) {
        complete();
    } else if (!options_.parallel_) {
        send(index + 1);
    }
}

auto SubCallSet::mayRepeat(const SubCallOutcome& outcome) const -> bool
{
    return outcome.attempts_ <= options_.retries_ && Clock::now() < parent_.deadline_;
}

auto SubCallSet::complete() -> void
{
    cancel();
    callback_(std::move(outcomes_));
}

} // namespace wagtailhead::standin
