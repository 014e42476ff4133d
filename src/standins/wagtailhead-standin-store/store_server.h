/// The HTTP interface of the store stand-in: the object API, its faults and its call counters.
#pragma once

#include "object_table.h"
#include "request_target.h"
#include "standin_http.h"
#include "store_faults.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <optional>

namespace wagtailhead::standin {

/// Calls of the object API since the start, refused ones included.
struct CallCounts {
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t watches_ = 0;
};

/// Handles the requests of the store stand-in. Runs in the one thread of its context.
class StoreServer {
public:
    StoreServer(asio::io_context& context, StoreFaults faults);

    auto handle(const HttpRequest& request, const Responder& responder) -> void;

private:
    /// A watch that waits for a change.
    struct Watch {
        Responder responder_;
        std::vector<std::string> prefixes_;
        Version since_ = 0;
        std::unique_ptr<asio::steady_timer> timer_;
    };

    auto handleControl(const HttpRequest& request, const RequestTarget& target) -> HttpResponse;
    auto handleFaults(const HttpRequest& request) -> HttpResponse;
    auto handleRollback(const HttpRequest& request) -> HttpResponse;
    auto dump() const -> HttpResponse;

    auto countCall(const HttpRequest& request, const RequestTarget& target) -> void;
    auto handleDelayed(const HttpRequest& request, const Responder& responder) -> void;
    auto handleApi(const HttpRequest& request, const RequestTarget& target, const Responder& responder)
        -> void;
    auto handleObject(const HttpRequest& request, const std::string& key, const Responder& responder) -> void;
    auto handleWrite(const HttpRequest& request, const std::string& key, const Responder& responder) -> void;
    auto write(const HttpRequest& request, const std::string& key) -> Result<WriteOutcome>;
    auto answerWritten(const std::string& key, Version version, const Responder& responder) -> void;

    auto handleWatch(const RequestTarget& target, const Responder& responder) -> void;
    auto addWatch(Watch watch, milliseconds timeout) -> void;
    auto answerWatch(std::uint64_t id) -> void;
    auto answerWatches(std::string_view changedKey) -> void;
    auto endAllWatches() -> void;

    /// Returns the table that reads are served from.
    auto readTable() const -> const ObjectTable&;

    asio::io_context& context_;
    ObjectTable table_;
    std::optional<ObjectTable> snapshot_;
    StoreFaults faults_;
    CallCounts counts_;
    std::map<std::uint64_t, Watch> watches_;
    std::uint64_t nextWatch_ = 0;
    UnansweredRequests unanswered_;
};

} // namespace wagtailhead::standin
