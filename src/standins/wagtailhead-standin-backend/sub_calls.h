/// The sub-calls of one execution, sent through the sub-call listener of the backend server's node.
#pragma once

#include "backend_answer.h"
#include "wagtailhead/http.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace wagtailhead::standin {

/// How a backend server stand-in sends its sub-calls.
struct SubCallOptions {
    Address address_; ///< Sub-call listener of its node.
    std::string service_;
    int retries_ = 0; ///< Repeats of a failed sub-call by the stand-in's own client library.
    bool parallel_ = false; ///< All at once instead of one after another.
};

/// The execution for which sub-calls are sent.
struct SubCallParent {
    CallIdentity identity_;
    std::string contextToken_;
    TimePoint deadline_;
};

/// Sends the sub-calls of one execution and ends at the first one that fails for good. Runs in the one
/// thread of the client's context.
class SubCallSet : public std::enable_shared_from_this<SubCallSet> {
public:
    using Callback = std::function<void(std::vector<SubCallOutcome>)>;

    /// The client and the options must outlive the set.
    SubCallSet(HttpClient& client, const SubCallOptions& options, std::vector<SubCall> calls,
        SubCallParent parent, Callback callback);

    /// Sends the first sub-calls. The callback runs once, unless the set is cancelled.
    /// Precondition: there is at least one sub-call.
    auto start() -> void;

    /// Ends the sub-calls in flight; the callback does not run any more.
    auto cancel() -> void;

private:
    auto send(std::size_t index) -> void;
    auto request(std::size_t index) const -> HttpRequest;
    auto finished(std::size_t index, const HttpResult& result) -> void;
    auto mayRepeat(const SubCallOutcome& outcome) const -> bool;
    auto complete() -> void;

    HttpClient& client_;
    const SubCallOptions& options_;
    SubCallParent parent_;
    Callback callback_;
    std::vector<SubCallOutcome> outcomes_;
    std::vector<HttpClient::RequestId> requests_; ///< Latest request of each sub-call; 0 if none runs.
    std::size_t succeeded_ = 0;
    bool ended_ = false;
};

} // namespace wagtailhead::standin
