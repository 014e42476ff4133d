/// A model of one backend server with its admission and its callers, for seeded schedule tests.
#pragma once

#include "wagtailhead/admission.h"
#include "wagtailhead/shedding.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace wagtailhead {

enum class Spread {
    Constant,
    Uniform, ///< From half to one and a half of the mean.
    Exponential,
};

/// A span of time with constant conditions.
struct Phase {
    Duration length_ = seconds(1);
    double load_ = 1; ///< First tries in relation to the capacity of all real slots at normal speed.
    double slowness_ = 1; ///< Factor on service times.
    double slotShare_ = 1; ///< Share of the real slots that work.
};

struct ModelOptions {
    AdmissionOptions admission_;
    int realSlots_ = 1; ///< Calls beyond them wait in the accept queue, where admission cannot see them.
    Duration serviceTime_ = milliseconds(10);
    Spread spread_ = Spread::Constant;
    Duration deadline_ = milliseconds(200);
    int tries_ = 1; ///< Of a caller until it gives up, each with a deadline of its own.
    Duration retryDelay_ = milliseconds(1);
    bool cancels_ = true; ///< Whether a call is cancelled when its caller stops waiting.
    bool filters_ = false; ///< Whether the callers' node refuses by the levels in replies.
    Duration tick_ = milliseconds(20);
    double failShare_ = 0; ///< Calls that end with an error.
    double abandonShare_ = 0; ///< Calls whose caller stops waiting early.
    double freezeShare_ = 0; ///< Ticks after which nothing is processed for ten ticks.
    std::array<double, priorityCount> mix_ { 0.2, 0.4, 0.2, 0.2 };
    std::vector<Phase> phases_;
    std::uint64_t seed_ = 1;
};

struct ModelCounts {
    int requests_ = 0;
    int completed_ = 0;
    int refusals_ = 0; ///< By admission, for overload, of all tries.
};

struct ModelResult {
    std::array<ModelCounts, priorityCount> counts_ {};
    double work_ = 0; ///< Seconds of a slot.
    double wastedWork_ = 0; ///< For tries that did not complete in time.
    std::vector<int> completedPerInterval_; ///< Requests by 100 ms of the time of completion.
    std::string violation_; ///< The first broken invariant, or empty.
};

/// Runs the phases and then lets all calls end. Checks the invariants of admission after each decision,
/// unless the queue is the naive one.
class AdmissionModel {
public:
    /// Called after every processed event.
    using Observer = std::function<void(const AdmissionController& admission, TimePoint now)>;

    explicit AdmissionModel(ModelOptions options)
        : options_(std::move(options))
        , admission_(options_.admission_)
        , levels_({}, options_.seed_)
        , checks_(options_.admission_.queue_ == Mechanism::Adaptive)
        , random_(options_.seed_)
    {
    }

    static auto startTime() -> TimePoint
    {
        return TimePoint(seconds(1000));
    }

    auto run(const Observer& observer = {}) -> ModelResult
    {
        scheduleNextArrival();
        schedule(now_ + options_.tick_, EventKind::Tick);
        while (!events_.empty() && result_.violation_.empty()) {
            const auto event = events_.top();
            events_.pop();
            now_ = std::max(now_, event.at_);
            process(event);
            checkLoad();
            if (observer) {
                observer(admission_, now_);
            }
        }
        require(tries_.empty(), "a call has neither run nor been refused");
        return result_;
    }

private:
    enum class EventKind {
        Arrive,
        Done,
        GiveUp,
        Tick,
    };

    struct Event {
        TimePoint at_;
        std::uint64_t order_ = 0;
        EventKind kind_ = EventKind::Tick;
        AdmissionId id_ = 0;

        auto operator>(const Event& other) const -> bool
        {
            return std::tie(at_, order_) > std::tie(other.at_, other.order_);
        }
    };

    enum class TryState {
        Arriving,
        Queued,
        Accepted, ///< In the accept queue of the backend server.
        Running,
    };

    struct Try {
        AdmissionCall call_;
        int number_ = 1;
        TryState state_ = TryState::Arriving;
        TimePoint runsSince_;
        bool callerWaits_ = true;
    };

    auto schedule(TimePoint at, EventKind kind, AdmissionId id = 0) -> void
    {
        events_.push({ at, ++order_, kind, id });
    }

    auto chance(double share) -> bool
    {
        return share > 0 && std::uniform_real_distribution(0.0, 1.0)(random_) < share;
    }

    auto phaseAt(TimePoint at) const -> const Phase*
    {
        auto from = startTime();
        for (const auto& phase : options_.phases_) {
            from += phase.length_;
            if (at < from) {
                return &phase;
            }
        }
        return nullptr;
    }

    auto countsOf(const Try& attempt) -> ModelCounts&
    {
        return result_.counts_.at(static_cast<std::size_t>(attempt.call_.priority_));
    }

    auto scheduleNextArrival() -> void
    {
        auto at = now_;
        const Phase* phase = phaseAt(at);
        while (phase) {
            const double gap = std::chrono::duration<double>(options_.serviceTime_).count()
                / (phase->load_ * options_.realSlots_) * std::exponential_distribution(1.0)(random_);
            at += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
            const auto* reached = phaseAt(at);
            // A gap that ends in another phase is drawn again at that phase's rate.
            if (reached == phase) {
                std::discrete_distribution<std::size_t> priorities(
                    options_.mix_.begin(), options_.mix_.end());
                addTry(allPriorities.at(priorities(random_)), 1, at);
                return;
            }
            phase = reached;
        }
    }

    auto addTry(Priority priority, int number, TimePoint at) -> void
    {
        const auto id = ++lastId_;
        const int invested = static_cast<int>(random_() % 3);
        auto& attempt = tries_[id];
        attempt.call_ = { id, priority, random_(), invested, at + options_.deadline_, random_() % 2 };
        attempt.number_ = number;
        const double patience = chance(options_.abandonShare_) ? 0.4 : 1;
        schedule(at, EventKind::Arrive, id);
        schedule(
            at + std::chrono::duration_cast<Duration>(patience * options_.deadline_), EventKind::GiveUp, id);
    }

    auto process(const Event& event) -> void
    {
        const auto found = tries_.find(event.id_);
        if (event.kind_ == EventKind::Tick) {
            tick();
        } else if (found == tries_.end()) {
            return;
        } else if (event.kind_ == EventKind::Arrive) {
            arrive(found->second);
        } else if (event.kind_ == EventKind::Done && found->second.state_ == TryState::Running) {
            done(found->second);
        } else if (event.kind_ == EventKind::GiveUp && found->second.callerWaits_) {
            giveUp(found->second);
        }
    }

    auto tick() -> void
    {
        apply(admission_.tick(now_));
        if (phaseAt(now_) || !tries_.empty()) {
            schedule(now_ + options_.tick_, EventKind::Tick);
        }
        if (chance(options_.freezeShare_)) {
            now_ += 10 * options_.tick_;
        }
    }

    auto arrive(Try& attempt) -> void
    {
        if (attempt.number_ == 1) {
            ++countsOf(attempt).requests_;
            scheduleNextArrival();
        }
        const auto call = attempt.call_;
        if (options_.filters_
            && levels_.check("service", "/", call.priority_, call.rootHash_, now_).verdict_
                == LevelVerdict::Refuse) {
            end(call.id_, true);
            return;
        }
        const auto decision = admission_.arrive(call, now_);
        auto change = decision.others_;
        if (decision.action_ == AdmissionAction::Queue) {
            attempt.state_ = TryState::Queued;
            queued_.emplace(call.deadline_, call.id_);
        } else if (decision.action_ == AdmissionAction::Refuse) {
            change.dropped_.push_back(decision.refusal_);
        } else {
            change.start_.push_back(call.id_);
        }
        apply(change);
    }

    auto done(const Try& attempt) -> void
    {
        const auto id = attempt.call_.id_;
        const bool failed = chance(options_.failShare_);
        const bool useful = attempt.callerWaits_ && !failed;
        if (useful) {
            ++countsOf(attempt).completed_;
            const auto index = static_cast<std::size_t>((now_ - startTime()) / milliseconds(100));
            result_.completedPerInterval_.resize(std::max(result_.completedPerInterval_.size(), index + 1));
            ++result_.completedPerInterval_.at(index);
        }
        leaveBackend(attempt, useful);
        end(id, failed);
        apply(admission_.finish({ id, failed ? CallEnd::Failed : CallEnd::Completed }, now_));
    }

    auto giveUp(Try& attempt) -> void
    {
        const auto id = attempt.call_.id_;
        retry(attempt);
        attempt.callerWaits_ = false;
        if (options_.cancels_ && attempt.state_ == TryState::Queued) {
            apply(admission_.cancel(id, now_));
        } else if (options_.cancels_) {
            leaveBackend(attempt, false);
            end(id, false);
            apply(admission_.finish({ id, CallEnd::Cancelled }, now_));
        }
    }

    /// Forgets a try; its caller tries again if `failed`.
    auto end(AdmissionId id, bool failed) -> void
    {
        const auto attempt = tries_.at(id);
        tries_.erase(id);
        if (failed && attempt.callerWaits_) {
            retry(attempt);
        }
        levels_.learn("service", "/", admission_.load().level_, "service", now_);
    }

    auto retry(const Try& attempt) -> void
    {
        if (attempt.number_ < options_.tries_) {
            addTry(attempt.call_.priority_, attempt.number_ + 1, now_ + options_.retryDelay_);
        }
    }

    auto apply(const AdmissionChange& change) -> void
    {
        for (const auto& refusal : change.dropped_) {
            queued_.erase({ tries_.at(refusal.id_).call_.deadline_, refusal.id_ });
        }
        for (const auto id : change.start_) {
            queued_.erase({ tries_.at(id).call_.deadline_, id });
        }
        checkDecision(change);
        for (const auto& refusal : change.dropped_) {
            countsOf(tries_.at(refusal.id_)).refusals_ += isOverload(refusal) ? 1 : 0;
            end(refusal.id_, true);
        }
        for (const auto id : change.start_) {
            ++started_;
            tries_.at(id).state_ = TryState::Accepted;
            acceptQueue_.push_back(id);
        }
        runAccepted();
    }

    auto runAccepted() -> void
    {
        const auto* phase = phaseAt(now_);
        const int slots
            = std::max(static_cast<int>((phase ? phase->slotShare_ : 1) * options_.realSlots_), 1);
        while (!acceptQueue_.empty() && running_ < slots) {
            auto& attempt = tries_.at(acceptQueue_.front());
            acceptQueue_.pop_front();
            ++running_;
            attempt.state_ = TryState::Running;
            attempt.runsSince_ = now_;
            const auto time = (phase ? phase->slowness_ : 1) * spreadFactor() * options_.serviceTime_;
            schedule(now_ + std::chrono::duration_cast<Duration>(time), EventKind::Done, attempt.call_.id_);
        }
    }

    auto spreadFactor() -> double
    {
        switch (options_.spread_) {
        case Spread::Constant:
            return 1;
        case Spread::Uniform:
            return std::uniform_real_distribution(0.5, 1.5)(random_);
        case Spread::Exponential:
            return std::exponential_distribution(1.0)(random_);
        }
        return 1;
    }

    auto leaveBackend(const Try& attempt, bool useful) -> void
    {
        --started_;
        if (attempt.state_ == TryState::Accepted) {
            acceptQueue_.erase(std::find(acceptQueue_.begin(), acceptQueue_.end(), attempt.call_.id_));
            return;
        }
        --running_;
        const double work = std::chrono::duration<double>(now_ - attempt.runsSince_).count();
        result_.work_ += work;
        result_.wastedWork_ += useful ? 0 : work;
    }

    static auto isOverload(const Refusal& refusal) -> bool
    {
        return refusal.reason_ != RefusalReason::Deadline && refusal.reason_ != RefusalReason::Cancelled;
    }

    auto isCritical(AdmissionId id) const -> bool
    {
        return tries_.at(id).call_.priority_ == Priority::Critical;
    }

    auto checkDecision(const AdmissionChange& change) -> void
    {
        const auto level = admission_.load().level_;
        const bool critical
            = std::any_of(change.dropped_.begin(), change.dropped_.end(), [this](const Refusal& refusal) {
                  return isOverload(refusal) && isCritical(refusal.id_);
              });
        const bool shedsCritical = level.priority_ == Priority::Critical && level.keepBelow_ != UINT64_MAX;
        for (const auto id : change.start_) {
            require(tries_.at(id).call_.deadline_ > now_, "a call started after its deadline");
            require(isCritical(id) || !(critical || shedsCritical),
                "a less important call started while critical calls were refused");
        }
        require(change.start_.empty() || queued_.empty() || queued_.begin()->first > now_,
            "expired work in the queue at a start decision");
        require(!critical
                || std::all_of(queued_.begin(), queued_.end(),
                    [this](const auto& entry) {
                        return isCritical(entry.second);
                    }),
            "less important calls stay queued when a critical call is refused");
    }

    auto checkLoad() -> void
    {
        const auto load = admission_.load();
        const int slots = options_.admission_.slots_;
        require(load.inFlight_ == started_ && load.inFlight_ <= slots,
            "calls in flight are wrong or above the slots");
        require(load.queued_ == static_cast<int>(queued_.size()) && load.queued_ <= std::max(2 * slots, 16),
            "queued calls are wrong or above the bound");
        require(load.queued_ == 0 || load.inFlight_ > 0, "calls wait although nothing runs");
    }

    auto require(bool holds, const char* violation) -> void
    {
        if (checks_ && !holds && result_.violation_.empty()) {
            result_.violation_ = std::string(violation) + " (seed " + std::to_string(options_.seed_) + ", at "
                + std::to_string(toMilliseconds(now_ - startTime())) + " ms)";
        }
    }

    ModelOptions options_;
    AdmissionController admission_;
    LevelTable levels_;
    bool checks_;
    std::mt19937_64 random_;
    TimePoint now_ = startTime();
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::uint64_t order_ = 0;
    std::map<AdmissionId, Try> tries_;
    AdmissionId lastId_ = 0;
    std::set<std::pair<TimePoint, AdmissionId>> queued_;
    std::deque<AdmissionId> acceptQueue_;
    int running_ = 0;
    int started_ = 0;
    ModelResult result_;
};

} // namespace wagtailhead
