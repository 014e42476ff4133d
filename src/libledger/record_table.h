/// The keys of one shard that have started, with their answers.
#pragma once

#include "wagtailhead/ledger_limits.h"
#include "wagtailhead/messages.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wagtailhead {

/// What is kept of one key. The answer is empty if the key has not finished or its answer has expired.
struct KeyRecord {
    std::uint64_t bodyHash_ = 0;
    TimePoint startedAt_;
    bool finished_ = false;
    std::unique_ptr<Answer> answer_;
};

/// Keys in order, their retention and their memory. The counter of the bytes is shared by all tables of
/// a ledger and outlives the table.
class RecordTable {
public:
    explicit RecordTable(std::size_t& bytes);
    ~RecordTable();
    RecordTable(const RecordTable&) = delete;
    auto operator=(const RecordTable&) -> RecordTable& = delete;

    auto find(const std::string& key) const -> const KeyRecord*;
    auto size() const -> std::size_t;

    /// Adds a key that starts now, or sets the body hash of one that has not finished.
    auto start(const std::string& key, std::uint64_t bodyHash, TimePoint now) -> void;

    /// Stores the answer of a key that has started. The first answer stays. Returns whether it was taken.
    auto finish(const std::string& key, const Answer& answer) -> bool;

    auto erase(const std::string& key) -> void;
    auto clear() -> void;

    /// Adds copied entries and completes known ones.
    auto merge(const std::vector<ShardEntry>& entries, TimePoint now) -> void;

    /// Appends the entries behind `after` up to about `pageBytes`, at least one. Returns whether more
    /// follow.
    auto page(const std::string& after, std::size_t pageBytes, TimePoint now,
        std::vector<ShardEntry>& entries) const -> bool;

    /// Drops what has been kept long enough. Looks at a bounded number of keys per call and goes on from
    /// there in the next one.
    auto purge(TimePoint now) -> void;

private:
    using Records = std::map<std::string, KeyRecord>;

    auto setAnswer(KeyRecord& record, const Answer& answer) -> void;
    auto dropAnswer(KeyRecord& record) -> void;
    auto drop(Records::iterator at) -> Records::iterator;

    std::size_t& bytes_;
    Records records_;
    std::string purgeCursor_;
};

/// Returns the memory that an answer takes, for bounds and pages.
auto answerBytes(const Answer& answer) -> std::size_t;

/// Returns the size of an entry in a message, for pages.
auto entryBytes(const ShardEntry& entry) -> std::size_t;

} // namespace wagtailhead
