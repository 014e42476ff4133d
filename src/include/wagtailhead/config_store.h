/// The calls of the store that operators' control needs. Implemented with the store client; tests use a
/// store in memory.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wagtailhead {

struct StoredValue {
    std::uint64_t version_ = 0;
    std::string value_; ///< JSON text.
};

/// The store cannot be reached or refuses; a write has not taken effect.
struct ConfigStoreUnavailable { };

/// No answer came; a write may have taken effect, or may take effect later.
struct ConfigStoreUnanswered { };

/// The object, or nothing if there is none.
using ConfigReadResult
    = std::variant<std::optional<StoredValue>, ConfigStoreUnavailable, ConfigStoreUnanswered>;

/// The condition of a write did not hold; nothing was written.
struct ConfigWriteConflict {
    std::optional<StoredValue> current_;
};

/// The new version of the object, or why there is none.
using ConfigWriteResult
    = std::variant<std::uint64_t, ConfigWriteConflict, ConfigStoreUnavailable, ConfigStoreUnanswered>;

struct ConfigListEntry {
    std::string key_;
    StoredValue value_;
};

using ConfigListResult
    = std::variant<std::vector<ConfigListEntry>, ConfigStoreUnavailable, ConfigStoreUnanswered>;

/// Thread safe. Callbacks run once, in a thread of the node's Asio context, never inside the call.
class ConfigStore {
public:
    virtual ~ConfigStore() = default;

    virtual auto read(const std::string& key, std::function<void(ConfigReadResult)> callback) -> void = 0;

    /// Writes if the object has this version, or does not exist if there is none.
    virtual auto write(const std::string& key, const std::string& value, std::optional<std::uint64_t> version,
        std::function<void(ConfigWriteResult)> callback) -> void
        = 0;

    /// Removes the object if it has this version. Its outcome is not reported.
    virtual auto remove(const std::string& key, std::uint64_t version) -> void = 0;

    virtual auto list(const std::string& prefix, std::function<void(ConfigListResult)> callback) -> void = 0;
};

} // namespace wagtailhead
