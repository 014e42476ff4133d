/// Takes the reports of the backend server beside this node.
#pragma once

#include "http1_listener.h"
#include "wagtailhead/backend_reports.h"
#include "wagtailhead/sidecar.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace wagtailhead {

struct ReportServerParts {
    std::function<std::variant<BackendReport, ReportError>(const http1::Request& request)> decode_;
    std::function<http1::Response()> answer_;
    BackendReports& reports_;
    /// The status has changed; the argument runs once the change has been written to the store.
    std::function<void(std::function<void()> onWritten)> onChanged_;
    /// Whether what an earlier process of this node knew has been read.
    std::function<bool()> isRestored_;
    /// Whether another node holds the leave of this start of a backend server.
    std::function<bool(const std::string& id, std::uint64_t bornMs)> isLeaveHeld_;
};

/// A leave is confirmed once it would outlive this process: when the store has it or, after a short time
/// without the store, when another node has it. Otherwise the report is refused, and the backend server
/// repeats it. All members run in the context's single thread.
class ReportServer {
public:
    static auto open(asio::io_context& context, const Address& address, ReportServerParts parts)
        -> Result<std::unique_ptr<ReportServer>>;

    virtual ~ReportServer() = default;

    /// Call it every few hundred milliseconds.
    virtual auto tick(TimePoint now) -> void = 0;
};

} // namespace wagtailhead
