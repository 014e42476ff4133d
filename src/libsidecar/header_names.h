/// The names of the header fields that a caller's interface uses.
#pragma once

#include <string>

namespace wagtailhead {

/// Filled once by the interface's decoder. All names are matched without regard to case.
struct HeaderNames {
    std::string attemptId_;
    std::string remainingMs_; ///< Milliseconds that the sender still waits.
    std::string targetInstance_; ///< The backend server that is meant.
    std::string callerService_;
    std::string seal_; ///< On every answer that a backend server has made by running the request.
    std::string notRun_; ///< On answers to requests that the backend server did not run.
    std::string apiKey_; ///< Of a client account; never passed on.
    std::string account_; ///< Name of the client account; set by the entry only.
    std::string load_; ///< Running, waiting and slots, separated by commas.
    std::string instanceId_; ///< On answers to health checks: the id of the backend server.
};

} // namespace wagtailhead
