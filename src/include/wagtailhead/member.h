/// Membership records and the member table that all components of a node read.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/ids.h"
#include "wagtailhead/settings.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace wagtailhead {

enum class MemberState : std::uint8_t {
    Alive,
    Suspect, ///< Did not reply to probes; routing uses it only if there is no better candidate.
    Leaving, ///< Accepts no new calls.
    Dead,
};

/// Returns "alive", "suspect", "leaving" or "dead".
auto memberStateName(MemberState state) -> const char*;

/// The record that a node announces about itself and its backend server.
struct Member {
    NodeRef ref_;
    std::string zone_;
    std::string region_;
    std::string service_;
    Address http_; ///< Callers and administration.
    Address peer_; ///< Calls between nodes.
    Address gossip_; ///< Gossip between nodes.
    MemberState state_ = MemberState::Alive;
    /// Increases with each change that the member itself announces. A higher sequence refutes suspicions.
    std::uint64_t sequence_ = 0;
    bool backendUp_ = false;
    int slots_ = 0;
    /// Unix time in milliseconds at which the backend server last became ready.
    std::uint64_t readySinceMs_ = 0;

    auto operator==(const Member&) const -> bool = default;
};

/// An immutable snapshot of the membership. Cheap to share between threads.
struct MemberList {
    std::uint64_t version_ = 0;
    std::map<NodeId, Member> members_;
    /// Members by service, for routing, as pointers into `members_`.
    std::map<std::string, std::vector<const Member*>> byService_;

    /// Returns the member with this id, or null.
    auto find(const NodeId& id) const -> const Member*;
    /// Returns whether a member with this id and incarnation exists and is not dead.
    auto isPresent(const NodeRef& ref) const -> bool;
};

/// The current membership. Thread safe; readers take a snapshot and block writers only briefly.
class MemberTable {
public:
    MemberTable();

    auto snapshot() const -> std::shared_ptr<const MemberList>;

    /// Replaces the membership with `members` and returns the new snapshot.
    auto replace(std::map<NodeId, Member> members) -> std::shared_ptr<const MemberList>;

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const MemberList> current_;
};

} // namespace wagtailhead
