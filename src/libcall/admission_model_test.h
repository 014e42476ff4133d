/// A model of one backend server with its admission and its callers, for seeded schedule tests.
#pragma once

#include "wagtailhead/admission.h"
#include "wagtailhead/shedding.h"

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
    /// First tries in relation to the capacity of the backend server's real slots at normal speed.
    double load_ = 1;
    /// Factor on service times.
    double slowness_ = 1;
    /// Share of the real slots that work.
    double slotShare_ = 1;
};

struct ModelOptions {
    AdmissionOptions admission_;
    int realSlots_ = 1; ///< Calls beyond them wait in the accept queue, where admission cannot see them.
    Duration serviceTime_ = milliseconds(10);
    Spread spread_ = Spread::Constant;
    Duration deadline_ = milliseconds(200);
    /// Tries of a caller until it gives up, each with a deadline of its own.
    int tries_ = 1;
    Duration retryDelay_ = milliseconds(1);
    /// Whether a call is cancelled at the backend server when its deadline passes.
    bool cancels_ = true;
    /// Whether the callers' node refuses what the level drops, as far as replies have told it.
    bool filters_ = false;
    Duration tick_ = milliseconds(20);
    double failShare_ = 0; ///< Calls that end with an error.
    double abandonShare_ = 0; ///< Calls that callers cancel early.
    double freezeShare_ = 0; ///< Share of ticks after which nothing is processed for ten ticks.
    std::array<double, priorityCount> mix_ { 0.2, 0.4, 0.2, 0.2 };
    std::vector<Phase> phases_;
    std::uint64_t seed_ = 1;
};

struct ModelCounts {
    int requests_ = 0;
    int completed_ = 0;
    int refusals_ = 0; ///< By admission, for overload, of all tries.
    int filtered_ = 0; ///< By the callers' node, of all tries.
};

struct ModelResult {
    std::array<ModelCounts, priorityCount> counts_ {};
    double work_ = 0; ///< Seconds of a slot.
    double wastedWork_ = 0; ///< For tries that did not complete in time.
    /// Completed requests by 100 ms of the time of completion.
    std::vector<int> completedPerInterval_;
    std::string violation_; ///< The first broken invariant, or empty.

    auto completed() const -> int;
};

/// Runs the phases and then lets all calls end. Checks the invariants of admission after each decision
/// unless the queue is the naive one.
class AdmissionModel {
public:
    /// Called after every processed event.
    using Observer = std::function<void(const AdmissionController& admission, TimePoint now)>;

    explicit AdmissionModel(ModelOptions options);

    auto run(const Observer& observer = {}) -> ModelResult;

    /// The start of the first phase.
    static auto startTime() -> TimePoint;

private:
    enum class EventKind {
        Arrive,
        Done,
        Deadline,
        Abandon,
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
        Ended,
    };

    struct Try {
        AdmissionCall call_;
        int number_ = 1;
        TryState state_ = TryState::Arriving;
        TimePoint runsSince_;
        bool callerWaits_ = true;
    };

    auto schedule(TimePoint at, EventKind kind, AdmissionId id = 0) -> void;
    auto scheduleNextArrival() -> void;
    auto phaseAt(TimePoint at) const -> const Phase*;
    auto addTry(Priority priority, int number, TimePoint at) -> void;
    auto process(const Event& event) -> void;
    auto arrive(AdmissionId id) -> void;
    auto done(AdmissionId id) -> void;
    auto giveUp(AdmissionId id) -> void;
    auto tick() -> void;
    auto apply(const AdmissionChange& change) -> void;
    auto start(AdmissionId id) -> void;
    auto workingSlots() const -> int;
    auto runAtBackend(AdmissionId id) -> void;
    auto leaveBackend(AdmissionId id) -> void;
    auto refuse(const Refusal& refusal) -> void;
    auto retry(const Try& attempt) -> void;
    auto isFiltered(const Try& attempt) -> bool;
    auto learnLevel() -> void;
    auto countWork(const Try& attempt, bool useful) -> void;
    auto checkDecision(const std::vector<Refusal>& refused, const std::vector<AdmissionId>& started) -> void;
    auto checkLoad() -> void;
    auto checkEnd() -> void;
    auto violate(const std::string& text) -> void;
    auto chance(double share) -> bool;

    ModelOptions options_;
    AdmissionController admission_;
    LevelTable levels_;
    bool checks_;
    std::mt19937_64 random_;
    TimePoint now_;
    TimePoint end_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::uint64_t order_ = 0;
    std::map<AdmissionId, Try> tries_;
    AdmissionId lastId_ = 0;
    std::set<std::pair<TimePoint, AdmissionId>> queuedByDeadline_;
    std::array<int, priorityCount> queued_ {};
    std::deque<AdmissionId> acceptQueue_;
    int running_ = 0;
    int started_ = 0;
    ModelResult result_;
};

} // namespace wagtailhead
