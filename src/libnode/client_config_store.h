/// The ConfigStore of a node, on its store client. Internal to the library.
#pragma once

#include "wagtailhead/config_store.h"
#include "wagtailhead/store_client.h"

namespace wagtailhead {

/// Thread safe. The store client must outlive this object and all its calls.
class ClientConfigStore final : public ConfigStore {
public:
    explicit ClientConfigStore(StoreClient& client);

    auto read(const std::string& key, std::function<void(ConfigReadResult)> callback) -> void override;
    auto write(const std::string& key, const std::string& value, std::optional<std::uint64_t> version,
        std::function<void(ConfigWriteResult)> callback) -> void override;
    auto remove(const std::string& key, std::uint64_t version) -> void override;
    auto list(const std::string& prefix, std::function<void(ConfigListResult)> callback) -> void override;

private:
    StoreClient& client_;
};

} // namespace wagtailhead
