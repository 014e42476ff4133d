/// A simulated fleet for seeded schedules: nodes with their own clocks, a lossy network, a store with
/// faults, callers that repeat themselves, and the checks of the at-most-once protocol. Test code.
#pragma once

#include "wagtailhead/ledger_node.h"
#include "wagtailhead/once_call.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace wagtailhead::schedule {

/// How a schedule is run.
struct Plan {
    std::uint64_t seed_ = 0;
    bool naive_ = false; ///< A hash owner with a local table and no records instead of the protocol.
    bool trace_ = false; ///< Print every step to standard error.
};

/// What a schedule showed.
struct Verdict {
    std::vector<std::string> violations_;
    int executions_ = 0;
    int duplicates_ = 0; ///< Keys executed more than once.
    int completed_ = 0;
    int notRun_ = 0;
    int unknown_ = 0;
    int replayed_ = 0; ///< Completed answers beyond the first of a key.
    int takeovers_ = 0;
    int probes_ = 0; ///< Orders sent after all faults have ended, one for each shard in use.
    int probesCompleted_ = 0;
    int lostShards_ = 0; ///< Shards of which no member is left that could be sealed.
};

/// Runs one schedule to its end.
auto run(const Plan& plan) -> Verdict;

/// A store with versions, conditional writes and faults.
class FakeStore {
public:
    auto read(const std::string& key, std::mt19937_64& random) const -> StoreReadResult;
    auto write(const std::string& key, const std::string& value, std::optional<std::uint64_t> expected)
        -> StoreWriteResult;
    auto rollBack(std::uint64_t version, bool reuseVersions) -> void;
    auto version() const -> std::uint64_t;
    auto all() const -> std::vector<std::string>;

    bool outage_ = false;
    bool staleReads_ = false;
    double loseAnswers_ = 0;

private:
    struct Write {
        std::uint64_t version_ = 0;
        std::string key_;
        std::string value_;
    };

    auto current(const std::string& key) const -> const Write*;

    std::vector<Write> history_;
    std::uint64_t version_ = 0;
};

class World;

/// One node process with everything that a real one wires around the ledger.
class SimNode {
public:
    SimNode(World& world, std::size_t index, Member member, Duration clockOffset);

    auto start(Incarnation incarnation) -> void;
    auto now() const -> TimePoint;
    auto absorb(LedgerEffects&& effects) -> void;
    auto receive(const Message& message, std::function<void(Message)> reply) -> void;
    auto tick() -> void;
    auto observeMembers() -> void;
    auto gossipWith(SimNode& peer) -> void;
    auto accept(int callId) -> void;

    World& world_;
    const std::size_t index_;
    Member member_;
    const Duration clockOffset_;
    bool up_ = false;
    TimePoint frozenUntil_; ///< World time.
    bool storeCut_ = false;
    std::vector<std::function<void()>> held_; ///< Events that came while frozen.

    std::unique_ptr<ShardMap> map_;
    std::unique_ptr<LedgerNode> ledger_;
    std::map<NodeId, Member> view_;
    std::map<NodeId, TimePoint> heard_;
    std::map<int, OnceCall> calls_;

private:
    auto takeCall(const CallRequest& call, std::function<void(Message)> reply) -> void;
    auto takeNaiveCall(const CallRequest& call, const std::function<void(Message)>& reply) -> void;
    auto dispatch(const KeyRef& key) -> void;
    auto traceTakeover(const Message& message, const std::optional<Message>& answer) -> void;
    auto runOnBackend(const KeyRef& key, std::function<void(Answer)> done) -> void;
    auto perform(int callId, OnceCall::Actions&& actions) -> void;
    auto recordOf(const std::string& key) const -> OnceCall::Record;
    auto checkEpochs() -> void;

    std::map<WaiterId, std::function<void(Answer, TimePoint)>> waiters_;
    std::set<WaiterId> answered_;
    std::map<FenceToken, std::function<void(Message)>> fences_;
    std::uint64_t nextToken_ = 1;
    std::map<std::string, std::pair<std::uint64_t, TimePoint>> opened_; ///< Body and acceptance by key.
    std::map<std::string, std::uint64_t> highestEpochs_;
    struct NaiveKey {
        bool finished_ = false;
        Answer answer_;
        std::vector<std::function<void(Message)>> waiting_;
    };
    std::map<std::string, NaiveKey> naive_;
};

/// One request of a caller.
struct SimCall {
    std::string key_;
    std::uint64_t body_ = 0;
    AttemptId attempt_;
    std::size_t entry_ = 0;
    TimePoint acceptedAt_; ///< World time.
    Duration deadline_ = Duration::zero();
    bool told_ = false;
    bool probe_ = false;
    int repeatsLeft_ = 0;
};

class World {
public:
    explicit World(const Plan& plan);

    auto run() -> Verdict;

    auto now() const -> TimePoint;
    auto at(TimePoint time, std::function<void()> event) -> void;
    /// Runs the event in a node process: later if it is frozen, never if that process has ended.
    auto inNode(std::size_t index, Duration delay, std::function<void()> event) -> void;
    auto request(std::size_t from, const LedgerRequest& request, std::function<void(const Message*)> done)
        -> void;
    auto notify(std::size_t from, const NodeRef& to, const Message& message) -> void;
    /// Runs `effect` at the store and then, in the node, what it returns, or `fail` if there is no answer.
    auto storeCall(SimNode& node, std::function<std::function<void()>()> effect, std::function<void()> fail)
        -> void;
    auto isCut(std::size_t from, std::size_t to) const -> bool;
    auto falseSuspicion() -> bool;
    /// As chance(), but never after the faults have ended.
    auto mishap(double probability) -> bool;
    auto chance(double probability) -> bool;
    auto between(Duration low, Duration high) -> Duration;
    auto pick(std::size_t count) -> std::size_t;
    auto trace(const std::string& text) -> void;
    auto violation(const std::string& text) -> void;

    auto call(std::size_t entry, const std::string& key, std::uint64_t body, Duration deadline, int repeats,
        bool probe) -> void;
    /// Tells the world that the store has taken a write.
    auto written() -> void;
    auto told(int callId, const Answer& answer) -> void;
    auto executed(const std::string& key, std::uint64_t body, TimePoint acceptedAt) -> Answer;

    std::mt19937_64 random_;
    Plan plan_;
    FakeStore store_;
    std::vector<std::unique_ptr<SimNode>> nodes_;
    std::vector<std::string> shards_;
    Duration rankDelay_ = Duration::zero(); ///< Of the shard agents; none makes candidates race.
    std::vector<SimCall> calls_;
    Verdict verdict_;
    Topology topology_;

private:
    struct Event {
        TimePoint time_;
        std::uint64_t order_ = 0;
        std::shared_ptr<std::function<void()>> action_;
        auto operator>(const Event& other) const -> bool
        {
            return std::tie(time_, order_) > std::tie(other.time_, other.order_);
        }
    };

    struct Execution {
        std::uint64_t body_ = 0;
        TimePoint startedAt_;
        Answer answer_;
    };

    auto buildFleet() -> void;
    auto planCalls(TimePoint from, Duration span, std::size_t keys) -> void;
    auto planIncidents() -> void;
    auto beginIncident() -> void;
    auto membersOf(const std::string& shard) const -> std::vector<std::size_t>;
    auto disturb(std::size_t index, const std::vector<std::size_t>& members) -> void;
    auto cutNetwork(std::size_t centre, const std::vector<std::size_t>& members) -> void;
    auto freeze(SimNode& node) -> void;
    auto leave(SimNode& node) -> void;
    auto thaw(std::size_t index) -> void;
    auto crash(SimNode& node) -> void;
    auto disturbStore() -> void;
    auto endAllFaults() -> void;
    auto deliver(std::size_t from, const NodeRef& to, const Message& message,
        std::function<void(Message)> reply) -> bool;
    auto latency() -> Duration;
    auto redated(const Message& message, const SimNode& from, const SimNode& to) -> Message;
    auto watchStore() -> void;
    auto probe() -> void;
    auto isLost(const std::string& shard) const -> bool;
    auto checkEnd(TimePoint end) -> void;

    TimePoint now_;
    std::uint64_t nextOrder_ = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    double loss_ = 0;
    double duplication_ = 0;
    double slowness_ = 0;
    double suspicion_ = 0;
    /// Whether the store may roll back. Such schedules have no cuts: with a cut between the members of an
    /// epoch, nobody is left who could tell a rival of the forgotten write (docs/at-most-once.md).
    bool forgetsWrites_ = false;
    double forgetfulness_ = 0; ///< Probability that the store soon forgets a write.
    bool isCalm_ = false;
    Duration faultTime_ = Duration::zero();
    int nextKey_ = 0;
    std::map<std::string, std::vector<Execution>> executions_;
    std::map<std::string, TimePoint> notRunTold_; ///< Latest, by key.
    std::map<std::pair<std::string, std::uint64_t>, TimePoint> bodyRefused_; ///< Latest 422.
    Incarnation nextIncarnation_ = 1000;
};

} // namespace wagtailhead::schedule
