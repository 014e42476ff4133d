/// Settings of a node process.
#pragma once

#include "wagtailhead/mechanism.h"
#include "wagtailhead/member.h"
#include "wagtailhead/operator_teams.h"
#include "wagtailhead/peer_transport.h"
#include "wagtailhead/settings.h"

#include <string>
#include <vector>

namespace wagtailhead {

struct NodeSettings {
    NodeRef self_;
    std::string zone_;
    std::string region_;
    std::string service_;
    Address listen_; ///< Callers and operators, HTTP.
    Address subcallListen_; ///< The backend server's sub-calls, HTTP.
    Address peerListen_;
    Address gossipListen_;
    Address backend_;
    Address store_;
    std::vector<Address> peers_; ///< Gossip addresses for joining without the store.
    std::vector<ZoneTranslation> translations_;
    int slots_ = 0;
    int connections_ = 0;
    int workers_ = 1;
    std::uint64_t seed_ = 0;
    /// The versions of the decision code; naive ones serve experiments only.
    Mechanism admission_ = Mechanism::Adaptive;
    Mechanism shedding_ = Mechanism::Adaptive;
    Mechanism routing_ = Mechanism::Adaptive;
    Mechanism retries_ = Mechanism::Adaptive;
    /// Teams that may use the administration API; none by default.
    OperatorTeams operatorTeams_;
};

/// Reads and checks all settings of a node. The error names the first bad one.
auto parseNodeSettings(const Settings& settings) -> Result<NodeSettings>;

/// Returns the member record that a node with these settings announces.
auto memberOf(const NodeSettings& settings) -> Member;

} // namespace wagtailhead
