/// The process in the slot of a backend server VM that serves callers and guards the backend server.
#pragma once

#include "wagtailhead/backend_reports.h"
#include "wagtailhead/object_store.h"
#include "wagtailhead/result.h"
#include "wagtailhead/settings.h"
#include "wagtailhead/site_configuration.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace asio {
class io_context;
}

namespace wagtailhead {

struct SidecarSettings {
    std::string node_;
    std::string zone_;
    std::string region_;
    std::string service_; ///< Of the backend server beside the node.
    Address backend_;
    Address callers_; ///< Callers of this VM and the backend server's own calls.
    Address link_; ///< Other nodes.
    /// What other nodes are told in place of link_, as behind address translation; port 0 for link_ itself.
    Address announcedLink_;
    Address readiness_; ///< Readiness checks, metrics and the state dump.
    Address reports_; ///< Reports of the backend server.
    Address metrics_; ///< The scraper; port 0 if metrics are served on the readiness address only.
    Address store_;
    bool firstStart_ = false; ///< The whole site starts for the first time.
    double retryShare_ = 0.1; ///< Extra arrivals for each first one, over all nodes.
    double retryBurst_ = 10; ///< Extra arrivals beyond the share, over all nodes.
    Duration retryWindow_ = seconds(10); ///< Span in which the extra arrivals are counted.
    double quotaOver_ = 0; ///< Share of rate and burst of an account that is tolerated above them.
    double quotaSlack_ = 0; ///< Requests of an account that are tolerated above its rate and burst.
    std::size_t sockets_ = 0; ///< Most open sockets of the process; 0 if there is no limit.
    std::size_t memoryBytes_ = 0; ///< The process is killed beyond it; 0 if there is no limit.
    Duration stopTime_ = seconds(6); ///< From SIGTERM to SIGKILL.
    /// Each node follows a configuration so long after the store has confirmed it, at the latest.
    Duration applyBound_ = milliseconds(2500);
    /// Requests go where they are expected to complete first, in deployments with cost control; otherwise by
    /// the share of slots in use.
    bool completionPlacement_ = false;
    std::uint64_t seed_ = 0; ///< Of all random choices.
};

struct HeaderNames;

namespace http1 {
struct Request;
struct Response;
class Pool;
} // namespace http1

/// A report call of the backend server that names something else, or whose content cannot be read.
struct ReportError {
    int status_ = 400;
    std::string text_;
};

/// What the platform's interface looks like. Each function translates and decides nothing.
struct PlatformInterface {
    std::string configurationKind_;
    std::string configurationName_;
    std::string readinessPath_;
    std::function<Result<SiteConfigurationPtr>(const std::string& text)> decodeConfiguration_;
    std::function<std::variant<BackendReport, ReportError>(const http1::Request& request)> decodeReport_;
    std::function<http1::Response()> reportAnswer_;
    /// Reads the settings again, for a reload.
    std::function<Result<SidecarSettings>()> readSettings_;
    /// Returns a text that changes whenever the settings do.
    std::function<std::string()> settingsStamp_;
    std::function<std::unique_ptr<ObjectStore>(asio::io_context& context, const Address& address)> openStore_;
};

/// One process. Not thread safe: everything runs in the thread that calls run().
class Sidecar {
public:
    static auto start(SidecarSettings settings, PlatformInterface platform, const HeaderNames& headers)
        -> Result<std::unique_ptr<Sidecar>>;

    virtual ~Sidecar() = default;

    /// Serves until a stop signal has been handled.
    virtual auto run() -> void = 0;
};

} // namespace wagtailhead
