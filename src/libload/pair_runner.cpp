#include "pair_runner.h"

#include "answer_check.h"

#include <algorithm>
#include <cmath>

namespace wagtailhead::load {

namespace {

/// Callers of pairs wait longer than any call takes on an idle mesh.
constexpr auto pairTimeout = milliseconds(2000);

auto pairPhases(const LoadPlan& plan) -> Phases
{
    return { { "pairs", totalLength(plan.phases_), plan.pairs_.perSecond_ } };
}

} // namespace

auto PairResult::addedAt(double share) const -> double
{
    return toMilliseconds(through_.percentile(share)) - toMilliseconds(direct_.percentile(share));
}

auto PairResult::pairedAt(double share) const -> double
{
    if (addedMs_.empty()) {
        return 0;
    }
    auto sorted = addedMs_;
    std::sort(sorted.begin(), sorted.end());
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

struct PairRunner::Pair {
    std::size_t result_ = 0;
    Address node_;
    Address backend_;
    HttpRequest through_;
    HttpRequest direct_;
    bool directFirst_ = false;
    int sent_ = 0;
    bool failed_ = false;
    Duration throughTime_ = Duration::zero();
    Duration directTime_ = Duration::zero();
};

PairRunner::PairRunner(asio::io_context& context, HttpClient& client, const LoadPlan& plan,
    const MeshProcesses& mesh, std::string runId, std::uint64_t seed)
    : context_(context)
    , client_(client)
    , plan_(plan)
    , mesh_(mesh)
    , runId_(std::move(runId))
    , arrivals_(pairPhases(plan), seed)
    , picker_(mesh.nodes_, seed + 1)
    , random_(seed + 2)
    , timer_(context)
{
    for (const auto& kind : plan.pairs_.kinds_) {
        results_.push_back({ kind, {}, {}, {}, 0 });
    }
}

auto PairRunner::start(TimePoint begin, std::function<void()> onDone) -> void
{
    begin_ = begin;
    onDone_ = std::move(onDone);
    scheduleNext();
}

auto PairRunner::scheduleNext() -> void
{
    const auto next = results_.empty() ? std::nullopt : arrivals_.next();
    if (!next) {
        allArrived_ = true;
        if (open_ == 0) {
            std::exchange(onDone_, nullptr)();
        }
        return;
    }
    timer_.expires_at(begin_ + *next);
    timer_.async_wait([this](const std::error_code& error) {
        if (!error) {
            begin();
            scheduleNext();
        }
    });
}

auto PairRunner::request(const RequestKind& kind, bool direct, const std::string& region) const -> HttpRequest
{
    const auto marker = (direct ? "direct-" : "pair-") + runId_ + "-" + std::to_string(begun_);
    HttpRequest request { kind.method_, direct ? kind.path_ : "/" + kind.service_ + kind.path_,
        { { "Wagtailhead-Deadline-Ms", std::to_string(pairTimeout.count()) } }, "" };
    if (const auto at = request.target_.find("{}"); at != std::string::npos) {
        request.target_.replace(at, 2, "1");
    }
    if (kind.keyed_) {
        request.headers_.emplace_back("Idempotency-Key", region + ":" + marker);
        request.body_ = R"({"lines":[]})";
    }
    return request;
}

auto PairRunner::begin() -> void
{
    auto pair = std::make_shared<Pair>();
    pair->result_ = begun_ % results_.size();
    const auto& kind
        = plan_.kinds_.at(static_cast<std::size_t>(findKind(plan_.kinds_, results_[pair->result_].kind_)));
    const auto& node = mesh_.nodes_[picker_.first()];
    std::vector<const MeshProcess*> near;
    std::vector<const MeshProcess*> all;
    for (const auto& backend : mesh_.backends_) {
        if (backend.service_ == kind.service_) {
            all.push_back(&backend);
            if (backend.zone_ == node.zone_) {
                near.push_back(&backend);
            }
        }
    }
    const auto& candidates = near.empty() ? all : near;
    if (candidates.empty()) {
        ++results_[pair->result_].failed_;
        return;
    }
    pair->node_ = node.http_;
    pair->backend_ = candidates[random_() % candidates.size()]->http_;
    pair->through_ = request(kind, false, node.region_);
    pair->direct_ = request(kind, true, node.region_);
    pair->directFirst_ = begun_ / results_.size() % 2 == 0;
    ++begun_;
    ++open_;
    sendNext(pair);
}

auto PairRunner::sendNext(const PairPtr& pair) -> void
{
    const bool direct = pair->directFirst_ == (pair->sent_ == 0);
    ++pair->sent_;
    const auto sent = Clock::now();
    auto callback = [this, pair, direct, sent](const HttpResult& result) {
        (direct ? pair->directTime_ : pair->throughTime_) = Clock::now() - sent;
        const auto* response = std::get_if<HttpResponse>(&result);
        pair->failed_ = pair->failed_ || response == nullptr || response->status_ != 200;
        roots_.insert(readAnswer(result).requestId_);
        if (pair->sent_ == 1) {
            sendNext(pair);
        } else {
            finish(*pair);
        }
    };
    client_.send(direct ? pair->backend_ : pair->node_, direct ? pair->direct_ : pair->through_, pairTimeout,
        std::move(callback));
}

auto PairRunner::finish(const Pair& pair) -> void
{
    auto& result = results_[pair.result_];
    if (pair.failed_) {
        ++result.failed_;
    } else {
        result.through_.add(pair.throughTime_);
        result.direct_.add(pair.directTime_);
        result.addedMs_.push_back(toMilliseconds(pair.throughTime_ - pair.directTime_));
    }
    --open_;
    if (allArrived_ && open_ == 0 && onDone_) {
        std::exchange(onDone_, nullptr)();
    }
}

auto PairRunner::results() const -> const std::vector<PairResult>&
{
    return results_;
}

auto PairRunner::roots() const -> const std::unordered_set<std::uint64_t>&
{
    return roots_;
}

} // namespace wagtailhead::load
