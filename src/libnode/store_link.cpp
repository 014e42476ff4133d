#include "store_link.h"

#include <asio/post.hpp>

namespace wagtailhead {

namespace {

/// Shard moves are urgent for orders; they are repeated by the takeover itself.
constexpr Duration storeTimeout = milliseconds(1500);

auto storedShardOf(const StoreObject& object) -> StoredShard
{
    return { object.version_, object.value_ };
}

auto readResultOf(const StoreResult<StoreObject>& result) -> StoreReadResult
{
    if (isOk(result)) {
        return storedShardOf(std::get<0>(result));
    }
    const auto& failure = std::get<StoreFailure>(result);
    return failure.error_.code_ == ErrorCode::NotFound ? StoreReadResult(StoreAbsent {})
                                                       : StoreReadResult(StoreFailed {});
}

auto writeResultOf(const StoreResult<StoreVersion>& result) -> StoreWriteResult
{
    if (isOk(result)) {
        return StoreWritten { std::get<0>(result) };
    }
    const auto& failure = std::get<StoreFailure>(result);
    if (failure.error_.code_ == ErrorCode::NotFound) {
        return StoreAbsent {};
    }
    if (failure.error_.code_ != ErrorCode::Conflict) {
        return StoreFailed {};
    }
    return failure.current_ ? StoreWriteResult(storedShardOf(*failure.current_))
                            : StoreWriteResult(StoreAbsent {});
}

} // namespace

StoreLink::StoreLink(asio::io_context& context, HttpClient& http, const NodeSettings& settings,
    MemberTable& members, ItemTable& items, PresenceService& presence)
    : context_(context)
    , settings_(settings)
    , members_(members)
    , items_(items)
    , presence_(presence)
    , client_(http, { settings.store_, storeTimeout })
{
}

auto StoreLink::start() -> void
{
    StoreAgentOptions options;
    options.self_ = settings_.self_;
    options.zone_ = settings_.zone_;
    options.seed_ = settings_.seed_;
    agent_ = StoreAgent::create(
        context_, client_, options, members_, items_, [this](std::vector<SeedAddress> seeds) {
            presence_.addSeeds(std::move(seeds));
        });
}

auto StoreLink::release(std::function<void()> done) -> void
{
    agent_->release(std::move(done));
}

auto StoreLink::shards() -> ShardStore&
{
    return *this;
}

auto StoreLink::client() -> StoreClient&
{
    return client_;
}

auto StoreLink::counts() const -> StoreCallCounts
{
    return client_.counts();
}

auto StoreLink::agentStats() const -> StoreAgentStats
{
    return agent_ ? agent_->stats() : StoreAgentStats {};
}

auto StoreLink::read(const std::string& key, std::function<void(StoreReadResult)> callback) -> void
{
    client_.get(key, [callback = std::move(callback)](const StoreResult<StoreObject>& result) {
        callback(readResultOf(result));
    });
}

auto StoreLink::write(const std::string& key, const std::string& value, std::optional<std::uint64_t> version,
    std::function<void(StoreWriteResult)> callback) -> void
{
    auto onDone = [callback = std::move(callback)](const StoreResult<StoreVersion>& result) {
        callback(writeResultOf(result));
    };
    if (version) {
        client_.replace(key, *version, value, std::move(onDone));
    } else {
        client_.create(key, value, std::move(onDone));
    }
}

} // namespace wagtailhead
