#include "adaptive_router.h"

#include "link_budget.h"
#include "route_target.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <mutex>
#include <random>
#include <unordered_map>

namespace wagtailhead {

namespace {

/// Load of a member of the local zone from which members of the whole region are considered too.
constexpr double busyLoad = 0.8;

/// Load from which members of the local region count as out of capacity, and from which members of other
/// regions receive no overflow.
constexpr double fullLoad = 0.9;

/// A smaller share of refusals by members of the local region is attributed to random variation, not to a
/// lack of capacity.
constexpr double minRefusalShare = 0.02;

/// Weight of one reply in the moving average of refusals.
constexpr double replyWeight = 0.05;

/// Time constant with which the share of refusals decays while no replies arrive.
constexpr double refusalMemorySeconds = 2;

/// The share of calls of one priority that members of the local region refuse.
class RefusalShare {
public:
    auto add(bool refused, TimePoint now) -> void
    {
        value_ = at(now);
        value_ += replyWeight * ((refused ? 1.0 : 0.0) - value_);
        updatedAt_ = now;
    }

    auto at(TimePoint now) const -> double
    {
        const double age = std::max(std::chrono::duration<double>(now - updatedAt_).count(), 0.0);
        return value_ * std::exp(-age / refusalMemorySeconds);
    }

private:
    double value_ = 0;
    TimePoint updatedAt_;
};

using RefusalShares = std::array<RefusalShare, priorityCount>;

struct Candidate {
    const Member* member_ = nullptr;
    RouteTarget* target_ = nullptr;
};

using Candidates = std::vector<Candidate>;

/// The usable members of a service, grouped by preference.
struct Choices {
    Candidates zone_;
    Candidates region_; ///< Includes `zone_`.
    Candidates remote_;
    Candidates localEjected_;
    Candidates remoteEjected_;
    Candidates localSuspect_;
    Candidates remoteSuspect_;
    bool existsInRegion_ = false;
};

auto isUsable(const Member& member) -> bool
{
    return member.backendUp_
        && (member.state_ == MemberState::Alive || member.state_ == MemberState::Suspect);
}

auto contains(const std::vector<NodeRef>& list, const NodeRef& ref) -> bool
{
    return std::find(list.begin(), list.end(), ref) != list.end();
}

class AdaptiveRouter final : public Router {
public:
    AdaptiveRouter(const RouterOptions& options, std::uint64_t seed)
        : options_(options)
        , random_(seed)
        , link_(options.linkBytesPerSecond_)
    {
    }

    auto choose(const MemberList& members, const RouteRequest& request, TimePoint now,
        WallClock::time_point wallNow) -> Route override
    {
        const std::lock_guard lock(mutex_);
        updateMembers(members, now);
        const auto found = members.byService_.find(request.service_);
        if (found == members.byService_.end() || found->second.empty()) {
            ++stats_.failures_;
            return RouteFailure::UnknownService;
        }
        const auto usable = usableOf(found->second, now, wallNow);
        updateEjections(usable, now);
        const auto choices = classify(usable, request, now);
        const auto chosen = pick(choices, request, now);
        if (!chosen.member_) {
            ++stats_.failures_;
            return linkRefused_ ? RouteFailure::LinkBudget : RouteFailure::NoneUsable;
        }
        count(chosen);
        return *chosen.member_;
    }

    auto ended(const NodeRef& member, const AttemptReport& report, TimePoint now) -> void override
    {
        const std::lock_guard lock(mutex_);
        const auto found = targets_.find(member.id_);
        if (found == targets_.end() || found->second.target_.ref() != member) {
            return;
        }
        auto& entry = found->second;
        entry.target_.onEnded(report, options_.ejectCap_, now);
        if (entry.target_.otherRegion()) {
            link_.charge(report.bytes_, now);
            stats_.linkBytes_ += report.bytes_;
        } else if (report.end_ == AttemptEnd::Answered || report.end_ == AttemptEnd::Refused) {
            auto& shares = refusals_[entry.service_];
            shares.at(static_cast<std::size_t>(report.priority_))
                .add(report.end_ == AttemptEnd::Refused, now);
        }
    }

    auto setLinkBudget(double bytesPerSecond) -> void override
    {
        const std::lock_guard lock(mutex_);
        options_.linkBytesPerSecond_ = bytesPerSecond;
        membersVersion_.reset();
    }

    auto stats() const -> RouterStats override
    {
        const std::lock_guard lock(mutex_);
        return stats_;
    }

    auto targets(TimePoint now) const -> std::vector<RouteTargetState> override
    {
        const std::lock_guard lock(mutex_);
        std::vector<RouteTargetState> states;
        for (const auto& [id, entry] : targets_) {
            const auto& target = entry.target_;
            states.push_back({ target.ref(), target.outstanding(), target.load(options_.slowStart_, now),
                target.isEjected(now), target.weight(options_.slowStart_, now) });
        }
        return states;
    }

private:
    struct Entry {
        RouteTarget target_;
        std::string service_;
    };

    /// Discards members that are no longer listed and recomputes this node's part of the link budget, once
    /// for each version of the list.
    auto updateMembers(const MemberList& members, TimePoint now) -> void
    {
        // Another thread may still hold an older list, which would discard the newest members.
        if (membersVersion_ && members.version_ <= *membersVersion_) {
            return;
        }
        membersVersion_ = members.version_;
        std::erase_if(targets_, [&members](const auto& entry) {
            return !members.isPresent(entry.second.target_.ref());
        });
        std::size_t regionNodes = 0;
        for (const auto& [id, member] : members.members_) {
            regionNodes += member.region_ == options_.region_ && member.state_ != MemberState::Dead ? 1 : 0;
        }
        link_.setRate(
            options_.linkBytesPerSecond_ / static_cast<double>(std::max<std::size_t>(regionNodes, 1)), now);
    }

    auto usableOf(const std::vector<const Member*>& members, TimePoint now, WallClock::time_point wallNow)
        -> Candidates
    {
        Candidates usable;
        for (const auto* member : members) {
            if (!isUsable(*member)) {
                continue;
            }
            auto& entry = targets_[member->ref_.id_];
            if (entry.target_.ref().incarnation_ > member->ref_.incarnation_) {
                continue;
            }
            if (entry.target_.ref() != member->ref_) {
                entry = { RouteTarget(member->ref_), member->service_ };
            }
            entry.target_.observe(*member, options_.slowStart_, now, wallNow);
            usable.push_back({ member, &entry.target_ });
        }
        return usable;
    }

    /// Ejects members that fail while others succeed, and limits the share of ejected members.
    auto updateEjections(const Candidates& usable, TimePoint now) -> void
    {
        Candidates ejected;
        std::copy_if(
            usable.begin(), usable.end(), std::back_inserter(ejected), [now](const Candidate& candidate) {
                return candidate.target_->isEjected(now);
            });
        const auto maxEjected
            = static_cast<std::size_t>(options_.ejectShare_ * static_cast<double>(usable.size()));
        const auto allowed = usable.empty() ? 0 : std::min(maxEjected, usable.size() - 1);
        std::sort(ejected.begin(), ejected.end(), [](const Candidate& left, const Candidate& right) {
            return left.target_->ejectedUntil() > right.target_->ejectedUntil();
        });
        while (ejected.size() > allowed) {
            ejected.back().target_->release(now);
            ejected.pop_back();
        }
        auto count = ejected.size();
        for (const auto& candidate : usable) {
            if (count < allowed && isOutlier(*candidate.target_, usable, now)) {
                candidate.target_->eject(options_, now);
                ++stats_.ejections_;
                ++count;
            }
        }
    }

    /// Returns whether the member fails while another one succeeds. If all fail, the cause is probably a
    /// service further down the call graph, and ejections would only reduce capacity.
    auto isOutlier(const RouteTarget& target, const Candidates& usable, TimePoint now) const -> bool
    {
        if (target.isEjected(now) || !target.isFailing(options_.ejectAfter_)) {
            return false;
        }
        return std::any_of(usable.begin(), usable.end(), [&target](const Candidate& other) {
            return other.target_ != &target && other.target_->lastSuccess() >= target.failingSince();
        });
    }

    auto classify(const Candidates& usable, const RouteRequest& request, TimePoint now) const -> Choices
    {
        Choices choices;
        for (const auto& candidate : usable) {
            const auto& member = *candidate.member_;
            const bool local = member.region_ == options_.region_;
            choices.existsInRegion_ |= local;
            if (contains(request.exclude_, member.ref_)) {
                continue;
            }
            if (member.state_ == MemberState::Suspect) {
                (local ? choices.localSuspect_ : choices.remoteSuspect_).push_back(candidate);
            } else if (candidate.target_->isEjected(now)) {
                (local ? choices.localEjected_ : choices.remoteEjected_).push_back(candidate);
            } else {
                (local ? choices.region_ : choices.remote_).push_back(candidate);
                if (local && member.zone_ == options_.zone_) {
                    choices.zone_.push_back(candidate);
                }
            }
        }
        return choices;
    }

    auto pick(const Choices& choices, const RouteRequest& request, TimePoint now) -> Candidate
    {
        linkRefused_ = false;
        const auto local = pickLocal(choices, now);
        const bool remoteAllowed = request.priority_ != Priority::Bulk || !choices.existsInRegion_;
        if (local.member_) {
            if (remoteAllowed && shouldOverflow(local, request, now)) {
                const auto remote = pickRemote(choices.remote_, request, now, fullLoad);
                return remote.member_ ? remote : local;
            }
            return local;
        }
        for (const auto* candidates : { &choices.remote_, &choices.localEjected_, &choices.remoteEjected_,
                 &choices.localSuspect_, &choices.remoteSuspect_ }) {
            const bool remote = candidates != &choices.localEjected_ && candidates != &choices.localSuspect_;
            if (remote && !remoteAllowed) {
                continue;
            }
            const auto chosen = remote ? pickRemote(*candidates, request, now) : pickOfTwo(*candidates, now);
            if (chosen.member_) {
                return chosen;
            }
        }
        return {};
    }

    auto pickLocal(const Choices& choices, TimePoint now) -> Candidate
    {
        const auto inZone = pickOfTwo(choices.zone_, now);
        if (inZone.member_ && inZone.target_->load(options_.slowStart_, now) < busyLoad) {
            return inZone;
        }
        const auto inRegion = pickOfTwo(choices.region_, now);
        return inZone.member_ && score(inZone, now) <= score(inRegion, now) ? inZone : inRegion;
    }

    /// Returns whether this call belongs to the random share that is sent to other regions because members of
    /// the local region refuse calls.
    auto shouldOverflow(const Candidate& local, const RouteRequest& request, TimePoint now) -> bool
    {
        if (local.target_->load(options_.slowStart_, now) < fullLoad) {
            return false;
        }
        const auto found = refusals_.find(request.service_);
        if (found == refusals_.end()) {
            return false;
        }
        const double share = found->second.at(static_cast<std::size_t>(request.priority_)).at(now);
        return share >= minRefusalShare && std::uniform_real_distribution(0.0, 1.0)(random_) < share;
    }

    /// Chooses a member of another region if one has a load below `maxLoad` and the link has budget.
    auto pickRemote(const Candidates& candidates, const RouteRequest& request, TimePoint now,
        double maxLoad = std::numeric_limits<double>::infinity()) -> Candidate
    {
        const auto remote = pickOfTwo(candidates, now);
        if (!remote.member_ || remote.target_->load(options_.slowStart_, now) >= maxLoad) {
            return {};
        }
        if (!link_.tryTake(request.priority_, request.bytes_, now)) {
            linkRefused_ = true;
            ++stats_.linkRefusals_;
            return {};
        }
        stats_.linkBytes_ += request.bytes_;
        return remote;
    }

    auto pickOfTwo(const Candidates& candidates, TimePoint now) -> Candidate
    {
        if (candidates.empty()) {
            return {};
        }
        const auto first = randomBelow(candidates.size());
        if (candidates.size() == 1) {
            return candidates.at(first);
        }
        const auto second = (first + 1 + randomBelow(candidates.size() - 1)) % candidates.size();
        const auto& left = candidates.at(first);
        const auto& right = candidates.at(second);
        return score(left, now) <= score(right, now) ? left : right;
    }

    auto score(const Candidate& candidate, TimePoint now) const -> double
    {
        return candidate.target_->load(options_.slowStart_, now, 1);
    }

    auto randomBelow(std::size_t bound) -> std::size_t
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
    }

    auto count(const Candidate& chosen) -> void
    {
        const auto& member = *chosen.member_;
        const bool remote = member.region_ != options_.region_;
        chosen.target_->onChosen(remote);
        auto& counter = remote               ? stats_.otherRegion_
            : member.zone_ == options_.zone_ ? stats_.ownZone_
                                             : stats_.ownRegion_;
        ++counter;
    }

    mutable std::mutex mutex_;
    RouterOptions options_;
    std::mt19937_64 random_;
    LinkBudget link_;
    std::optional<std::uint64_t> membersVersion_;
    std::unordered_map<NodeId, Entry> targets_;
    std::map<std::string, RefusalShares> refusals_;
    bool linkRefused_ = false;
    RouterStats stats_;
};

} // namespace

auto createAdaptiveRouter(const RouterOptions& options, std::uint64_t seed) -> std::unique_ptr<Router>
{
    return std::make_unique<AdaptiveRouter>(options, seed);
}

} // namespace wagtailhead
