#include "client_config_store.h"

namespace wagtailhead {

namespace {

auto storedValue(const std::optional<StoreObject>& object) -> std::optional<StoredValue>
{
    return object ? std::optional(StoredValue { object->version_, object->value_ }) : std::nullopt;
}

/// Returns the failure of a call in the words of the ConfigStore. A refused write has not taken effect,
/// and neither has one that could not be sent; of everything else nobody knows.
template <typename ConfigResult> auto failureOf(const StoreFailure& failure) -> ConfigResult
{
    switch (failure.error_.code_) {
    case ErrorCode::Unavailable:
    case ErrorCode::InvalidArgument:
    case ErrorCode::Denied:
        return ConfigStoreUnavailable {};
    default:
        return ConfigStoreUnanswered {};
    }
}

auto writeResult(const StoreResult<StoreVersion>& result) -> ConfigWriteResult
{
    if (isOk(result)) {
        return std::get<0>(result);
    }
    const auto& failure = std::get<StoreFailure>(result);
    if (failure.error_.code_ == ErrorCode::Conflict) {
        return ConfigWriteConflict { storedValue(failure.current_) };
    }
    return failureOf<ConfigWriteResult>(failure);
}

} // namespace

ClientConfigStore::ClientConfigStore(StoreClient& client)
    : client_(client)
{
}

auto ClientConfigStore::read(const std::string& key, std::function<void(ConfigReadResult)> callback) -> void
{
    client_.get(key, [callback = std::move(callback)](const StoreResult<StoreObject>& result) {
        if (isOk(result)) {
            callback(storedValue(std::get<0>(result)));
            return;
        }
        const auto& failure = std::get<StoreFailure>(result);
        if (failure.error_.code_ == ErrorCode::NotFound) {
            callback(std::optional<StoredValue>());
        } else {
            callback(failureOf<ConfigReadResult>(failure));
        }
    });
}

auto ClientConfigStore::write(const std::string& key, const std::string& value,
    std::optional<std::uint64_t> version, std::function<void(ConfigWriteResult)> callback) -> void
{
    auto onResult = [callback = std::move(callback)](const StoreResult<StoreVersion>& result) {
        callback(writeResult(result));
    };
    if (version) {
        client_.replace(key, *version, value, std::move(onResult));
    } else {
        client_.create(key, value, std::move(onResult));
    }
}

auto ClientConfigStore::remove(const std::string& key, std::uint64_t version) -> void
{
    client_.remove(key, version, [](const StoreResult<Done>&) {});
}

auto ClientConfigStore::list(const std::string& prefix, std::function<void(ConfigListResult)> callback)
    -> void
{
    client_.list(prefix, [callback = std::move(callback)](const StoreResult<StoreListing>& result) {
        if (!isOk(result)) {
            callback(failureOf<ConfigListResult>(std::get<StoreFailure>(result)));
            return;
        }
        std::vector<ConfigListEntry> entries;
        for (const auto& object : std::get<0>(result).objects_) {
            entries.push_back({ object.key_, { object.version_, object.value_ } });
        }
        callback(std::move(entries));
    });
}

} // namespace wagtailhead
