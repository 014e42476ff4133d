/// Helpers for gate tests: a connection pool whose results the test supplies.
#pragma once

#include "gate.h"
#include "http1_pool.h"

#include <map>

namespace wagtailhead {

class FakePool final : public http1::Pool {
public:
    auto send(http1::PoolCall call) -> CallId override
    {
        sent_.emplace(++lastId_, std::move(call));
        return lastId_;
    }
    auto cancel(CallId id) -> void override
    {
        cancelled_.push_back(id);
        sent_.erase(id);
    }
    auto tick(TimePoint /*now*/) -> void override { }
    auto closeIdle() -> void override { }
    auto setServer(const Address& server) -> void override
    {
        server_ = server;
    }
    auto setMaxConnections(std::size_t /*count*/) -> void override { }
    auto stats() const -> http1::PoolStats override
    {
        return {};
    }

    /// Completes the oldest call with `result`.
    auto answer(http1::CallResult result) -> void
    {
        auto call = std::move(sent_.begin()->second);
        sent_.erase(sent_.begin());
        call.done_(std::move(result));
    }

    std::map<CallId, http1::PoolCall> sent_;
    std::vector<CallId> cancelled_;
    Address server_;
    CallId lastId_ = 0;
};

inline auto testHeaderNames() -> HeaderNames
{
    return { "Attempt", "Remaining-Ms", "Target", "Caller", "Seal", "Not-Run", "Key", "Account", "Load",
        "Instance" };
}

inline auto sealedAnswer(const std::string& attempt, int status = 200) -> http1::Response
{
    http1::Response response;
    response.status_ = status;
    response.headers_.add("Attempt", attempt);
    response.headers_.add("Seal", "s");
    response.body_ = "body";
    return response;
}

inline auto testCall(const std::string& attempt, bool idempotent = true, int rank = 1) -> GateCall
{
    GateCall call;
    call.attemptId_ = attempt;
    call.route_ = "route";
    call.service_ = "stock";
    call.callerService_ = "shop";
    call.method_ = idempotent ? "GET" : "POST";
    call.target_ = "/x";
    call.idempotent_ = idempotent;
    call.rank_ = rank;
    call.goal_ = seconds(10);
    call.deadline_ = bootNow() + seconds(20);
    return call;
}

inline auto readyInstance(int capacity = 100) -> BackendInstance
{
    return { "i-1", 1, { "127.0.0.1", 9 }, capacity, BackendPhase::Ready };
}

} // namespace wagtailhead
