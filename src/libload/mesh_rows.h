/// The processes of a running mesh, as `scripts/mesh status` prints them.
#pragma once

#include "wagtailhead/result.h"
#include "wagtailhead/settings.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhead::load {

struct MeshProcess {
    std::string role_; ///< "node", "backend", "store" or "link".
    int pid_ = 0;
    std::string zone_;
    std::string region_;
    std::string service_;
    std::string node_; ///< Id of the node in the same VM; "-" for the store and the link.
    Address http_;
    std::string auditFile_; ///< File to which a backend server writes its executions; empty if none.
};

struct MeshProcesses {
    std::vector<MeshProcess> nodes_;
    std::vector<MeshProcess> backends_;
    std::optional<MeshProcess> store_;
    std::optional<MeshProcess> link_;
};

/// Returns whether an address is in 127.0.0.0/8.
auto isLoopback(const Address& address) -> bool;

/// Parses the lines of `scripts/mesh status`. Every address must be a loopback address, and there must be at
/// least one node.
auto parseMeshStatus(std::string_view text) -> Result<MeshProcesses>;

} // namespace wagtailhead::load
