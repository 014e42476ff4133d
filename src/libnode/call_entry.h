/// Takes requests of callers and sub-calls of the backend server, and answers them.
/// Internal to the library.
#pragma once

#include "call_sender.h"
#include "once_sender.h"
#include "request_parser.h"
#include "wagtailhead/call_table.h"
#include "wagtailhead/shedding.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <random>
#include <unordered_map>

namespace wagtailhead {

/// All parts are thread safe and outlive the entry.
struct CallEntryParts {
    ConfigView& config_;
    CallTable& calls_;
    CallSender& sender_;
    OnceSender& once_;
    LevelTable& levels_;
};

/// Counts since the start, for dumps.
struct CallEntryStats {
    std::uint64_t completed_ = 0;
    std::uint64_t notRun_ = 0;
    std::uint64_t unknown_ = 0;
};

/// The entry of requests into the mesh. Thread safe.
class CallEntry {
public:
    CallEntry(CallEntryParts parts, std::uint64_t seed);

    /// Handles a request of a caller: a new root.
    auto onCallerRequest(HttpRequest request, const std::shared_ptr<HttpResponder>& responder) -> void;

    /// Handles a sub-call of the backend server. Without a known context it is a root of the lowest
    /// priority.
    auto onSubCall(HttpRequest request, const std::shared_ptr<HttpResponder>& responder) -> void;

    /// Cancels sub-calls that are still under way.
    auto cancelSubCalls(const std::vector<SubCallId>& ids) -> void;

    /// From now on new root requests are refused; sub-calls of running calls go on.
    auto startLeaving() -> void;

    auto stats() const -> CallEntryStats;

    /// Returns the number of requests that have not been answered.
    auto inFlight() const -> std::size_t;

private:
    struct Request;
    using RequestPtr = std::shared_ptr<Request>;

    auto startRoot(const RequestPtr& request, ParsedRequest parsed, Priority priority) -> void;
    auto startSubCall(const RequestPtr& request, ParsedRequest parsed, ContextToken parent) -> void;
    auto send(const RequestPtr& request, OutgoingCall call) -> void;
    auto onResult(const RequestPtr& request, CallResult result) -> void;
    auto answer(const RequestPtr& request, const Answer& answer) -> void;
    auto onCallerGone(const RequestPtr& request) -> void;
    auto newRootId() -> RootId;

    CallEntryParts parts_;
    std::atomic<bool> leaving_ { false };

    mutable std::mutex mutex_; // Guards the fields below.
    std::mt19937_64 random_;
    std::unordered_map<SubCallId, std::weak_ptr<Request>> subCalls_;
    CallEntryStats stats_;
    std::size_t inFlight_ = 0;
};

} // namespace wagtailhead
