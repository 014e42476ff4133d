/// A lease in the store: at most one process acts under it at any time.
///
/// The store has no clock of its own, so nobody compares clocks. A holder counts the life from before it
/// sent the write that took effect. A candidate counts it from when it saw the present version, which is
/// later, and takes the lease over by a conditional update of exactly that version.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/ids.h"
#include "wagtailhead/store_client.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace asio {
class io_context;
}

namespace wagtailhead {

struct LeaseOptions {
    std::string key_; ///< For instance `leases/riga-a/0`.
    NodeRef holder_;
    Duration life_ = seconds(10);
    Duration renewInterval_ = seconds(3);
    /// Candidates wait this much longer than the life, for clocks that run at different speeds (1 s is
    /// 10% of the life) and for the pause between the holder's last check and its write.
    Duration margin_ = seconds(1);
    /// Bounds of the growing pause after a failed call.
    Duration retryMin_ = milliseconds(500);
    Duration retryMax_ = seconds(15);
};

/// The state machine of one lease at one node. Not thread safe. At most one command is outstanding; its
/// answer must be passed to onAnswer() in every case.
class Lease {
public:
    Lease(LeaseOptions options, std::uint64_t seed);

    /// Says whether this node tries to get the lease while it does not hold it. A first attempt is made
    /// after `delay`. Does not affect a held lease.
    auto setCandidate(TimePoint now, bool candidate, Duration delay = {}) -> void;

    /// Returns the call that is due, or nothing. Steps down if the life has ended.
    auto tick(TimePoint now) -> std::optional<StoreCommand>;
    /// Returns when tick() has something to do, at the latest.
    auto nextWake() const -> TimePoint;
    auto onAnswer(TimePoint now, const StoreAnswer& answer) -> void;

    /// Returns whether this node may act under the lease now. Ask before every action: after a pause of
    /// the process the answer is no even if nothing has been noticed yet.
    auto isHeld(TimePoint now) const -> bool;
    /// Returns the version under which the lease was acquired, for fenced writes. 0 if it is not held.
    auto fencingVersion() const -> StoreVersion;
    /// Returns when the latest renewal that took effect was sent.
    auto confirmedAt() const -> TimePoint;

    /// Renews at the next tick, to find out whether the lease is still this node's.
    auto verify(TimePoint now) -> void;
    /// Gives the lease up: a tick writes it as free, if it is still held, and the node is no candidate.
    auto release(TimePoint now) -> void;
    /// Returns whether nothing remains to be done after release().
    auto isIdle() const -> bool;

    auto options() const -> const LeaseOptions&
    {
        return options_;
    }

private:
    enum class State : std::uint8_t {
        Unknown, ///< The object has to be read.
        Observing, ///< Somebody else holds it, or did.
        Held,
    };

    enum class Action : std::uint8_t {
        None,
        Read,
        Acquire,
        Renew,
        Release,
    };

    auto command(Action action) const -> StoreCommand;
    auto onFailure(TimePoint now, Action action, const StoreFailure& failure) -> void;
    auto onConflict(TimePoint now, const StoreFailure& failure) -> void;
    auto observe(TimePoint now, const std::optional<StoreObject>& object) -> void;
    auto stepDown(TimePoint now) -> void;
    auto backOff(TimePoint now) -> void;
    auto dueAction(TimePoint now) const -> Action;

    LeaseOptions options_;
    std::mt19937_64 random_;
    State state_ = State::Unknown;
    bool candidate_ = false;
    bool releasing_ = false;
    Action outstanding_ = Action::None;
    TimePoint sentAt_;
    /// When the next call may be made, and, while observing, when the lease has run out.
    TimePoint nextCall_;
    StoreVersion version_ = 0; ///< Of the object as last seen or written; 0 if there is none.
    StoreVersion fencingVersion_ = 0;
    TimePoint validUntil_ = TimePoint::min();
    TimePoint confirmedAt_ = TimePoint::min();
    Duration backoff_;
};

/// Runs one Lease on a StoreClient and an Asio timer. Thread safe.
class LeaseDriver {
public:
    /// Runs in a thread of the context when the lease is acquired or lost.
    using Listener = std::function<void(bool held, StoreVersion fencingVersion)>;

    /// The context and the store client must outlive the driver.
    static auto create(asio::io_context& context, StoreClient& store, LeaseOptions options,
        std::uint64_t seed, Listener listener) -> std::unique_ptr<LeaseDriver>;

    virtual ~LeaseDriver() = default;
    virtual auto setCandidate(bool candidate) -> void = 0;
    virtual auto isHeld() const -> bool = 0;
    virtual auto fencingVersion() const -> StoreVersion = 0;
    /// Gives the lease up; `done` runs in a thread of the context.
    virtual auto release(std::function<void()> done) -> void = 0;
};

} // namespace wagtailhead
