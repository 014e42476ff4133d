/// Reads the state of a running mesh: audits, dumps, counters and /proc.
#pragma once

#include "audit.h"
#include "mesh_rows.h"
#include "wagtailhead/http.h"

#include <asio/io_context.hpp>
#include <map>
#include <string>
#include <vector>

namespace wagtailhead::load {

/// What one node has used since its start.
struct NodeUsage {
    int pid_ = 0;
    std::string node_;
    double cpuSeconds_ = 0;
    double memoryMb_ = 0; ///< Resident; largest value so far.
    double controlBytes_ = 0; ///< Sent and received for presence.
};

struct MeshSnapshot {
    TimePoint at_;
    std::vector<NodeUsage> nodes_; ///< Without nodes that cannot be read.
    double allCpuSeconds_ = 0; ///< Of all processes of the mesh.
    std::map<std::string, std::int64_t> storeCalls_; ///< "reads", "writes" and "watches".
    std::map<std::string, std::int64_t> regionBytes_; ///< By "FROM>TO"; empty without the link stand-in.
    std::map<std::string, std::int64_t> slots_; ///< Of all backend servers by service.
};

/// Sends requests to the control interfaces of a mesh. Its functions run the context until the answers are
/// there, so the context must have no other work. Not thread safe.
class MeshProbe {
public:
    /// All arguments outlive the probe.
    MeshProbe(asio::io_context& context, HttpClient& client, const MeshProcesses& mesh);

    auto snapshot() -> MeshSnapshot;

    /// Returns the executions of all backend servers: from the audit files where there are some, else from
    /// the backend servers themselves. `missing` gets one text for each backend server without an audit.
    auto executions(std::vector<std::string>& missing) -> Executions;

private:
    /// Returns the bodies of the answers with status 200, in the order of the addresses; "" without one.
    auto fetch(const std::vector<Address>& addresses, const std::string& target) -> std::vector<std::string>;
    auto fetch(const Address& address, const std::string& target) -> std::string;

    asio::io_context& context_;
    HttpClient& client_;
    const MeshProcesses& mesh_;
};

} // namespace wagtailhead::load
