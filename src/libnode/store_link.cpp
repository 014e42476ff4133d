#include "store_link.h"

#include <nlohmann/json.hpp>

namespace wagtailhead {

namespace {

constexpr Duration storeTimeout = milliseconds(1000);
constexpr Duration pollInterval = seconds(1);
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusPreconditionFailed = 412;
const std::string objectPath = "/v1/objects/";

auto storedShardOf(const std::string& body) -> std::optional<StoredShard>
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("value") || !json.contains("version")) {
        return std::nullopt;
    }
    return StoredShard { json["version"].get<std::uint64_t>(), json["value"].dump() };
}

} // namespace

StoreLink::StoreLink(asio::io_context& context, HttpClient& http, const NodeSettings& settings, MemberTable&,
    ItemTable& items, PresenceService&)
    : http_(http)
    , store_(settings.store_)
    , items_(items)
    , timer_(context)
{
}

auto StoreLink::start() -> void
{
    poll("config/");
    poll("shards/");
    schedule();
}

auto StoreLink::schedule() -> void
{
    timer_.expires_after(pollInterval);
    timer_.async_wait([this](const asio::error_code& error) {
        if (!error) {
            start();
        }
    });
}

auto StoreLink::poll(const std::string& prefix) -> void
{
    http_.send(store_, { "GET", "/v1/objects?prefix=" + prefix, {}, {} }, storeTimeout,
        [this](const HttpResult& result) {
            onList(result);
        });
}

auto StoreLink::onList(const HttpResult& result) -> void
{
    const auto* response = std::get_if<HttpResponse>(&result);
    reachable_ = response && response->status_ == statusOk;
    if (!reachable_) {
        return;
    }
    const auto json = nlohmann::json::parse(response->body_, nullptr, false);
    if (!json.is_object()) {
        return;
    }
    for (const auto& object : json.value("objects", nlohmann::json::array())) {
        const auto key = object.value("key", "");
        const auto& value = object["value"];
        const auto generation
            = value.value(key.starts_with("shards/") ? "epoch" : "generation", std::uint64_t { 0 });
        items_.apply({ key, generation, value.dump() });
    }
}

auto StoreLink::shards() -> ShardStore&
{
    return *this;
}

auto StoreLink::isReachable() const -> bool
{
    return reachable_;
}

auto StoreLink::read(const std::string& key, std::function<void(StoreReadResult)> callback) -> void
{
    http_.send(store_, { "GET", objectPath + key, {}, {} }, storeTimeout,
        [callback = std::move(callback)](const HttpResult& result) {
            const auto* response = std::get_if<HttpResponse>(&result);
            if (response && response->status_ == statusNotFound) {
                callback(StoreAbsent {});
                return;
            }
            const auto stored
                = response && response->status_ == statusOk ? storedShardOf(response->body_) : std::nullopt;
            callback(stored ? StoreReadResult(*stored) : StoreReadResult(StoreFailed {}));
        });
}

auto StoreLink::write(const std::string& key, const std::string& value, std::optional<std::uint64_t> version,
    std::function<void(StoreWriteResult)> callback) -> void
{
    const std::pair<std::string, std::string> condition
        = version ? std::pair("If-Match", std::to_string(*version)) : std::pair("If-None-Match", "*");
    HttpRequest request { "PUT", objectPath + key, { { "Content-Type", "application/json" }, condition },
        value };
    http_.send(
        store_, std::move(request), storeTimeout, [callback = std::move(callback)](const HttpResult& result) {
            const auto* response = std::get_if<HttpResponse>(&result);
            if (response && response->status_ == statusOk) {
                const auto json = nlohmann::json::parse(response->body_, nullptr, false);
                callback(StoreWritten { json.is_object() ? json.value("version", std::uint64_t { 0 }) : 0 });
                return;
            }
            if (response && response->status_ == statusPreconditionFailed) {
                const auto stored = storedShardOf(response->body_);
                callback(stored ? StoreWriteResult(*stored) : StoreWriteResult(StoreAbsent {}));
                return;
            }
            callback(StoreFailed {});
        });
}

} // namespace wagtailhead
