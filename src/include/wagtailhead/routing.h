/// Choice of a backend server's node for each attempt of a call.
///
/// `choose` picks a member and counts the attempt as outstanding there; each picked attempt needs
/// exactly one `ended` with what was learned:
///
///     auto route = router->choose(*members->snapshot(), request, now, WallClock::now());
///     if (const auto* member = std::get_if<Member>(&route)) { send(*member); }
///     ...
///     router->ended(member->ref_, { AttemptEnd::Answered, priority, reply.load_, replyBytes }, now);
///
/// Order of preference of the adaptive router:
/// 1. the least loaded of two random members of the own zone, unless it is busy;
/// 2. the least loaded of two random members of the own region;
/// 3. members of other regions, for the share of calls that near members refuse while they are busy,
///    within the byte budget of the link; for bulk calls only if the service exists nowhere nearer;
/// 4. ejected members, then suspects, near before far.
/// Leaving and dead members, and those without a running backend server, are never chosen.
#pragma once

#include "wagtailhead/call_context.h"
#include "wagtailhead/clock.h"
#include "wagtailhead/mechanism.h"
#include "wagtailhead/member.h"
#include "wagtailhead/messages.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wagtailhead {

struct RouteRequest {
    std::string service_;
    Priority priority_ = Priority::Bulk;
    /// Size of the request, charged to the link budget if it goes to another region.
    std::size_t bytes_ = 0;
    /// Members that earlier attempts of the same call have tried; they are not chosen.
    std::vector<NodeRef> exclude_;
};

enum class RouteFailure : std::uint8_t {
    UnknownService, ///< No member, present or dead, announces the service.
    NoneUsable, ///< All members are dead, leaving, without backend server, or excluded.
    LinkBudget, ///< Only other regions have usable members, and the link budget is used up.
};

/// Returns "unknown-service", "no-backend" or "link-budget".
auto routeFailureName(RouteFailure failure) -> const char*;

using Route = std::variant<Member, RouteFailure>;

/// How an attempt ended, as far as it says something about the member.
enum class AttemptEnd : std::uint8_t {
    Answered, ///< The backend server answered.
    Refused, ///< Refused for overload. Not a failure of the member; shows a lack of capacity.
    Failed, ///< Unreachable, connection lost or silent, or an error of the backend server.
    TimedOut, ///< No reply until the deadline. Counts as a failure.
    Neutral, ///< Cancelled or refused for another reason; says nothing.
};

struct AttemptReport {
    AttemptEnd end_ = AttemptEnd::Neutral;
    /// The priority of the call.
    Priority priority_ = Priority::Bulk;
    /// The load from the reply, if there was one.
    std::optional<LoadReport> load_ = std::nullopt;
    /// Size of the reply, charged to the link budget if it came from another region.
    std::size_t bytes_ = 0;
};

struct RouterOptions {
    std::string zone_;
    std::string region_;
    /// Bytes per second that calls of the whole own region may send to and get from other regions. Each node
    /// takes an equal part. The default is half of a 30 Mbit/s link.
    double linkBytesPerSecond_ = 1'875'000;
    Duration slowStart_ = seconds(10);
    /// Consecutive failures that eject a member.
    int ejectAfter_ = 5;
    Duration ejectBase_ = seconds(1);
    Duration ejectCap_ = seconds(60);
    /// Greatest ejected share of a service.
    double ejectShare_ = 0.5;
    Mechanism mechanism_ = Mechanism::Adaptive; ///< Naive: round-robin over all members not dead.
};

/// Counts since construction, for dumps and metrics.
struct RouterStats {
    std::uint64_t ownZone_ = 0;
    std::uint64_t ownRegion_ = 0;
    std::uint64_t otherRegion_ = 0;
    std::uint64_t failures_ = 0; ///< Results without a member.
    std::uint64_t ejections_ = 0;
    std::uint64_t linkRefusals_ = 0; ///< Choices of another region that the link budget prevented.
    std::uint64_t linkBytes_ = 0;
};

/// What the router knows about one member, for dumps.
struct RouteTargetState {
    NodeRef ref_;
    int outstanding_ = 0;
    double load_ = 0; ///< Estimated use of the limit; 1 is full.
    bool ejected_ = false;
    double weight_ = 1; ///< Below 1 during slow start.
};

/// Chooses members. Thread safe: one mutex, held for the short time of a choice.
class Router {
public:
    static auto create(const RouterOptions& options, std::uint64_t seed) -> std::unique_ptr<Router>;

    virtual ~Router() = default;

    /// Chooses a member for one attempt and counts it as outstanding. `wallNow` is compared with the
    /// members' `readySinceMs_` for slow start; errors of clocks shift it by at most its length.
    virtual auto choose(const MemberList& members, const RouteRequest& request, TimePoint now,
        WallClock::time_point wallNow) -> Route = 0;

    /// Reports the end of an attempt that `choose` returned. Other members are ignored.
    virtual auto ended(const NodeRef& member, const AttemptReport& report, TimePoint now) -> void = 0;

    /// Takes over a new link budget (`links` configuration).
    virtual auto setLinkBudget(double bytesPerSecond) -> void = 0;

    virtual auto stats() const -> RouterStats = 0;

    /// Returns the state of the members chosen so far.
    virtual auto targets(TimePoint now) const -> std::vector<RouteTargetState> = 0;
};

} // namespace wagtailhead
