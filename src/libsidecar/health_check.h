/// Asks the backend server of this VM whether it serves.
#pragma once

#include "header_names.h"
#include "http1_pool.h"
#include "wagtailhead/backend_reports.h"

#include <functional>
#include <memory>
#include <string>

namespace wagtailhead {

struct HealthCheckParts {
    std::shared_ptr<http1::Pool> pool_; ///< Of the backend server.
    const HeaderNames& headers_;
    BackendReports& reports_;
    /// Returns the path of the check; empty as long as it is not known.
    std::function<std::string()> path_;
    /// The backend server has become ready.
    std::function<void()> onServing_;
};

/// Makes health checks as long as the reports of the backend server need evidence that it still serves, and
/// none otherwise. An answer counts only if it names the start that has reported. All members run in the
/// context's single thread; the referenced objects must outlive this one.
class HealthCheck {
public:
    explicit HealthCheck(HealthCheckParts parts)
        : parts_(std::move(parts))
    {
    }

    /// Makes a check if one is due. Call it about every 100 ms, and after a report.
    auto tick(TimePoint now) -> void;

private:
    auto onResult(const std::string& id, std::uint64_t bornMs, const http1::CallResult& result) -> void;

    HealthCheckParts parts_;
    std::string askedId_; ///< The start that was asked last.
    std::uint64_t askedBornMs_ = 0;
    TimePoint nextCheck_ {};
    bool waiting_ = false;
};

} // namespace wagtailhead
