#include "store_server.h"

#include "json_fields.h"
#include "store_json.h"
#include "wagtailhead/log.h"
#include "wagtailhead/metrics.h"

namespace wagtailhead::standin {

namespace {

constexpr std::string_view objectsPath = "/v1/objects";
constexpr std::string_view watchPath = "/v1/watch";
constexpr auto defaultWatchTimeout = milliseconds(30'000);
constexpr auto maxWatchTimeout = milliseconds(300'000);

auto splitPrefixes(const std::string& text) -> std::vector<std::string>
{
    std::vector<std::string> prefixes;
    for (std::size_t begin = 0; begin <= text.size();) {
        const auto end = std::min(text.find(',', begin), text.size());
        prefixes.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return prefixes;
}

auto queryText(const RequestTarget& target, const std::string& name) -> std::string
{
    const auto found = target.query_.find(name);
    return found == target.query_.end() ? std::string() : found->second;
}

} // namespace

StoreServer::StoreServer(asio::io_context& context, StoreFaults faults)
    : context_(context)
    , faults_(faults)
{
}

auto StoreServer::handle(const HttpRequest& request, const Responder& responder) -> void
{
    const auto target = parseTarget(request.target_);
    if (target.path_.starts_with("/-/")) {
        responder->respond(handleControl(request, target));
        return;
    }
    countCall(request, target);
    if (faults_.outage_) {
        if (faults_.silent_) {
            unanswered_.keep(responder);
        } else {
            responder->respond(reasonResponse(503, "outage"));
        }
        return;
    }
    if (faults_.delay_.count() > 0) {
        handleDelayed(request, responder);
        return;
    }
    handleApi(request, target, responder);
}

auto StoreServer::handleDelayed(const HttpRequest& request, const Responder& responder) -> void
{
    // The request takes effect after the delay, even if its caller has given up by then.
    auto timer = std::make_shared<asio::steady_timer>(context_, faults_.delay_);
    timer->async_wait([this, timer, request, responder](const std::error_code&) {
        handleApi(request, parseTarget(request.target_), responder);
    });
}

auto StoreServer::countCall(const HttpRequest& request, const RequestTarget& target) -> void
{
    const bool isRead = request.method_ == "GET";
    const bool isWatch = isRead && target.path_ == watchPath;
    ++(isWatch ? counts_.watches_ : isRead ? counts_.reads_ : counts_.writes_);
    static auto& reads = counter("standin_store_calls", "Calls of the object API.", { { "kind", "read" } });
    static auto& writes = counter("standin_store_calls", "Calls of the object API.", { { "kind", "write" } });
    static auto& watches
        = counter("standin_store_calls", "Calls of the object API.", { { "kind", "watch" } });
    (isWatch ? watches : isRead ? reads : writes).Increment();
    const auto id = findHeader(request.headers_, "Wagtailhead-Request-Id").value_or("");
    logEvent(LogLevel::Debug, "call",
        { { "method", request.method_ }, { "target", request.target_ }, { "request_id", id } });
}

auto StoreServer::readTable() const -> const ObjectTable&
{
    return snapshot_ ? *snapshot_ : table_;
}

auto StoreServer::handleApi(
    const HttpRequest& request, const RequestTarget& target, const Responder& responder) -> void
{
    const auto& path = target.path_;
    if (path == watchPath && request.method_ == "GET") {
        handleWatch(target, responder);
    } else if (path == objectsPath && request.method_ == "GET") {
        responder->respond(jsonTextResponse(200, listText(readTable().list(queryText(target, "prefix")))));
    } else if (path.starts_with(objectsPath) && path.size() > objectsPath.size()
        && path[objectsPath.size()] == '/') {
        handleObject(request, path.substr(objectsPath.size() + 1), responder);
    } else {
        responder->respond(reasonResponse(404, "unknown-path"));
    }
}

auto StoreServer::handleObject(const HttpRequest& request, const std::string& key, const Responder& responder)
    -> void
{
    if (!isObjectKey(key)) {
        responder->respond(reasonResponse(400, "bad-key"));
    } else if (request.method_ == "GET") {
        const auto object = readTable().find(key);
        responder->respond(
            object ? jsonTextResponse(200, objectText(*object)) : reasonResponse(404, "not-found"));
    } else if (request.method_ == "PUT" || request.method_ == "DELETE") {
        handleWrite(request, key, responder);
    } else {
        responder->respond(reasonResponse(405, "unknown-method"));
    }
}

auto StoreServer::write(const HttpRequest& request, const std::string& key) -> Result<WriteOutcome>
{
    const auto ifMatch = findHeader(request.headers_, "If-Match");
    const auto ifNoneMatch = findHeader(request.headers_, "If-None-Match");
    if (ifMatch.has_value() == ifNoneMatch.has_value()) {
        return Error { ErrorCode::InvalidArgument, "exactly one of If-Match and If-None-Match is required" };
    }
    const bool isPut = request.method_ == "PUT";
    if (ifNoneMatch) {
        return isPut && *ifNoneMatch == "*"
            ? table_.create(key, request.body_)
            : Error { ErrorCode::InvalidArgument, "If-None-Match must be * and belong to a PUT" };
    }
    const auto expected = parseEntityTag(*ifMatch);
    if (!expected) {
        return Error { ErrorCode::InvalidArgument, "If-Match '" + *ifMatch + "' is no version" };
    }
    return isPut ? table_.replace(key, request.body_, *expected) : table_.remove(key, *expected);
}

auto StoreServer::handleWrite(const HttpRequest& request, const std::string& key, const Responder& responder)
    -> void
{
    const auto result = write(request, key);
    if (!isOk(result)) {
        responder->respond(reasonResponse(400, errorOf(result).text_));
        return;
    }
    if (const auto* conflict = std::get_if<WriteConflict>(&valueOf(result))) {
        responder->respond(
            jsonTextResponse(412, objectText(conflict->current_.value_or(StoredObject { key, 0, "null" }))));
        return;
    }
    answerWritten(key, std::get<Version>(valueOf(result)), responder);
    answerWatches(key);
}

auto StoreServer::answerWritten(const std::string& key, Version version, const Responder& responder) -> void
{
    if (faults_.loseAnswers_ > 0) {
        --faults_.loseAnswers_;
        logEvent(LogLevel::Info, "answer-lost", { { "key", key }, { "version", version } });
        unanswered_.keep(responder);
        return;
    }
    responder->respond(jsonResponse(200, { { "key", key }, { "version", version } }));
}

auto StoreServer::handleWatch(const RequestTarget& target, const Responder& responder) -> void
{
    const auto since = queryNumber(target, "since", 0);
    const auto timeout
        = queryNumber(target, "timeout-ms", static_cast<std::uint64_t>(defaultWatchTimeout.count()));
    if (!since || !timeout || *timeout > static_cast<std::uint64_t>(maxWatchTimeout.count())) {
        responder->respond(reasonResponse(400, "bad-query"));
        return;
    }
    Watch watch { responder, splitPrefixes(queryText(target, "prefix")), *since, nullptr };
    // A version that the store has not reached comes from before a rollback: the caller needs all.
    const bool rolledBack = *since > table_.version();
    const auto changes = table_.changesSince(watch.prefixes_, rolledBack ? 0 : *since);
    if (rolledBack || !changes.objects_.empty() || !changes.deleted_.empty() || *timeout == 0) {
        responder->respond(jsonTextResponse(200, listText(changes)));
        return;
    }
    addWatch(std::move(watch), milliseconds(*timeout));
}

auto StoreServer::addWatch(Watch watch, milliseconds timeout) -> void
{
    const auto id = nextWatch_++;
    const auto responder = watch.responder_;
    watch.timer_ = std::make_unique<asio::steady_timer>(context_, timeout);
    watch.timer_->async_wait([this, id](const std::error_code& error) {
        if (!error) {
            answerWatch(id);
        }
    });
    watches_.emplace(id, std::move(watch));
    responder->onCallerGone([this, id] {
        watches_.erase(id);
    });
}

auto StoreServer::answerWatch(std::uint64_t id) -> void
{
    const auto found = watches_.find(id);
    if (found == watches_.end()) {
        return;
    }
    const Watch watch = std::move(found->second);
    watches_.erase(found);
    const auto since = watch.since_ > table_.version() ? 0 : watch.since_;
    watch.responder_->respond(jsonTextResponse(200, listText(table_.changesSince(watch.prefixes_, since))));
}

auto StoreServer::answerWatches(std::string_view changedKey) -> void
{
    std::vector<std::uint64_t> concerned;
    for (const auto& [id, watch] : watches_) {
        if (matchesPrefix(changedKey, watch.prefixes_)) {
            concerned.push_back(id);
        }
    }
    for (const auto id : concerned) {
        answerWatch(id);
    }
}

auto StoreServer::endAllWatches() -> void
{
    const auto ended = std::move(watches_);
    watches_.clear();
    for (const auto& [id, watch] : ended) {
        if (faults_.silent_) {
            unanswered_.keep(watch.responder_);
        } else {
            watch.responder_->respond(reasonResponse(503, "outage"));
        }
    }
}

auto StoreServer::handleControl(const HttpRequest& request, const RequestTarget& target) -> HttpResponse
{
    const bool isPost = request.method_ == "POST";
    if (target.path_ == "/-/faults") {
        return isPost ? handleFaults(request) : jsonResponse(200, toJson(faults_));
    }
    if (target.path_ == "/-/rollback" && isPost) {
        return handleRollback(request);
    }
    if (target.path_ == "/-/calls") {
        return jsonResponse(200,
            { { "reads", counts_.reads_ }, { "writes", counts_.writes_ }, { "watches", counts_.watches_ } });
    }
    if (target.path_ == "/-/dump") {
        return dump();
    }
    return target.path_ == "/-/metrics" ? metricsResponse() : reasonResponse(404, "unknown-path");
}

auto StoreServer::handleFaults(const HttpRequest& request) -> HttpResponse
{
    const auto parsed = parseStoreFaults(request.body_, faults_);
    if (!isOk(parsed)) {
        return reasonResponse(400, errorOf(parsed).text_);
    }
    faults_ = valueOf(parsed);
    if (!faults_.staleReads_) {
        snapshot_.reset();
    } else if (!snapshot_) {
        snapshot_ = table_;
    }
    if (faults_.outage_) {
        endAllWatches();
    }
    logEvent(LogLevel::Info, "faults", { { "faults", toJson(faults_).dump() } });
    return jsonResponse(200, toJson(faults_));
}

auto StoreServer::handleRollback(const HttpRequest& request) -> HttpResponse
{
    std::int64_t version = -1;
    JsonFields fields(request.body_);
    fields.readInteger("version", version, 0, INT64_MAX);
    if (const auto error = fields.error(); error || version < 0) {
        return reasonResponse(400, error ? error->text_ : "field 'version' is required");
    }
    const auto from = table_.version();
    const auto result = table_.rollBack(static_cast<Version>(version));
    if (!isOk(result)) {
        return reasonResponse(400, errorOf(result).text_);
    }
    logEvent(LogLevel::Info, "rollback", { { "from", from }, { "to", version } });
    if (!faults_.outage_) {
        // Every object may have changed, also to an older version.
        while (!watches_.empty()) {
            answerWatch(watches_.begin()->first);
        }
    }
    return jsonResponse(200, { { "version", version } });
}

auto StoreServer::dump() const -> HttpResponse
{
    return jsonResponse(200,
        { { "version", table_.version() }, { "objects", table_.size() },
            { "pendingWatches", watches_.size() }, { "unanswered", unanswered_.size() },
            { "faults", toJson(faults_) },
            { "calls",
                { { "reads", counts_.reads_ }, { "writes", counts_.writes_ },
                    { "watches", counts_.watches_ } } } });
}

} // namespace wagtailhead::standin
