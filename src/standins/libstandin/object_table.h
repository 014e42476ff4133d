/// The objects of the store stand-in: versions, conditional updates, changes and rollback.
#pragma once

#include "wagtailhead/result.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wagtailhead::standin {

/// The number of the latest write to the whole store; 0 stands for "never written".
using Version = std::uint64_t;

/// The largest value in bytes of JSON text, as the platform's object API allows.
constexpr std::size_t maxValueBytes = std::size_t { 1 } << 20;

struct StoredObject {
    std::string key_;
    Version version_ = 0;
    std::string value_; ///< JSON text, as written.
};

/// What a list or watch call answers.
struct ObjectList {
    Version version_ = 0; ///< The version of the store when the list was made.
    std::vector<StoredObject> objects_;
    std::vector<std::string> deleted_;
};

/// The condition of a write did not hold. `current_` is empty if the object does not exist.
struct WriteConflict {
    std::optional<StoredObject> current_;
};

/// The new version of the store, or the conflict.
using WriteOutcome = std::variant<Version, WriteConflict>;

/// Returns whether a key consists of `[A-Za-z0-9._/-]` and is not empty.
auto isObjectKey(std::string_view key) -> bool;

/// Returns whether a key starts with one of the prefixes. The empty prefix matches every key.
auto matchesPrefix(std::string_view key, const std::vector<std::string>& prefixes) -> bool;

/// The object table. Not thread safe.
class ObjectTable {
public:
    /// Returns the version of the latest write, or 0.
    auto version() const -> Version;

    auto find(std::string_view key) const -> std::optional<StoredObject>;

    /// Writes a new object. Conflicts if the key exists. Fails with InvalidArgument if the key is
    /// malformed, or if the value is no JSON or larger than maxValueBytes.
    auto create(std::string_view key, std::string value) -> Result<WriteOutcome>;

    /// Writes an existing object. Conflicts unless its version is `expected`. Fails as `create`.
    auto replace(std::string_view key, std::string value, Version expected) -> Result<WriteOutcome>;

    /// Removes an object. Conflicts unless its version is `expected`.
    auto remove(std::string_view key, Version expected) -> WriteOutcome;

    /// Returns all objects under a prefix, sorted by key.
    auto list(std::string_view prefix) const -> ObjectList;

    /// Returns what changed under the prefixes after version `since`, oldest change first.
    auto changesSince(const std::vector<std::string>& prefixes, Version since) const -> ObjectList;

    /// Restores the state that the store had at `version`, and its version counter. Fails with
    /// InvalidArgument if that version lies in the future or is older than the kept history.
    auto rollBack(Version version) -> Result<Done>;

    /// Returns the number of existing objects.
    auto size() const -> std::size_t;

private:
    /// The latest write to a key; a deleted key has no value.
    struct Entry {
        Version version_ = 0;
        std::optional<std::string> value_;
    };

    /// The state of a key before a write, kept for rollback.
    struct Undo {
        std::string key_;
        Version version_ = 0; ///< The version of the undone write.
        std::optional<Entry> before_;
    };

    auto write(std::string_view key, std::optional<std::string> value) -> Version;
    auto currentVersion(std::string_view key) const -> Version;
    auto restore(const Undo& undo) -> void;

    Version version_ = 0;
    std::map<std::string, Entry, std::less<>> entries_;
    std::map<Version, std::string> latestKeys_; ///< Version of the latest write to each key.
    std::deque<Undo> history_; ///< Oldest first.
    std::size_t historyBytes_ = 0;
};

} // namespace wagtailhead::standin
