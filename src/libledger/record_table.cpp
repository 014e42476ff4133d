#include "record_table.h"

namespace wagtailhead {

namespace {

/// Node of the map, record and allocator overhead.
constexpr std::size_t keyOverheadBytes = 128;
constexpr std::size_t answerOverheadBytes = 160;
constexpr std::size_t headerOverheadBytes = 64;

/// Keys that one purge looks at. With a call every 100 ms, a table of 200,000 keys is passed in 40 s.
constexpr int purgeBatch = 500;

auto keyBytes(const std::string& key) -> std::size_t
{
    return keyOverheadBytes + key.size();
}

auto toEntry(const std::string& key, const KeyRecord& record, TimePoint now) -> ShardEntry
{
    ShardEntry entry { key, record.bodyHash_, record.finished_, {}, now - record.startedAt_ };
    if (record.answer_) {
        entry.answer_ = *record.answer_;
    }
    return entry;
}

} // namespace

auto answerBytes(const Answer& answer) -> std::size_t
{
    auto bytes = answerOverheadBytes + answer.reason_.size() + answer.body_.size();
    for (const auto& [name, value] : answer.headers_) {
        bytes += headerOverheadBytes + name.size() + value.size();
    }
    return bytes;
}

auto entryBytes(const ShardEntry& entry) -> std::size_t
{
    return keyBytes(entry.key_) + answerBytes(entry.answer_);
}

RecordTable::RecordTable(std::size_t& bytes)
    : bytes_(bytes)
{
}

RecordTable::~RecordTable()
{
    clear();
}

auto RecordTable::find(const std::string& key) const -> const KeyRecord*
{
    const auto found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second;
}

auto RecordTable::size() const -> std::size_t
{
    return records_.size();
}

auto RecordTable::start(const std::string& key, std::uint64_t bodyHash, TimePoint now) -> void
{
    const auto [at, added] = records_.try_emplace(key);
    if (added) {
        bytes_ += keyBytes(key);
        at->second.startedAt_ = now;
    }
    if (!at->second.finished_) {
        at->second.bodyHash_ = bodyHash;
    }
}

auto RecordTable::finish(const std::string& key, const Answer& answer) -> bool
{
    const auto found = records_.find(key);
    if (found == records_.end() || found->second.finished_) {
        return false;
    }
    found->second.finished_ = true;
    setAnswer(found->second, answer);
    return true;
}

auto RecordTable::erase(const std::string& key) -> void
{
    const auto found = records_.find(key);
    if (found != records_.end()) {
        drop(found);
    }
}

auto RecordTable::clear() -> void
{
    for (auto at = records_.begin(); at != records_.end();) {
        at = drop(at);
    }
}

auto RecordTable::merge(const std::vector<ShardEntry>& entries, TimePoint now) -> void
{
    for (const auto& entry : entries) {
        start(entry.key_, entry.bodyHash_, now - entry.age_);
        auto& record = records_.at(entry.key_);
        if (!entry.finished_ || (record.finished_ && record.answer_)) {
            continue;
        }
        record.finished_ = true;
        if (entry.answer_.status_ != 0) {
            setAnswer(record, entry.answer_);
        }
    }
}

auto RecordTable::page(const std::string& after, std::size_t pageBytes, TimePoint now,
    std::vector<ShardEntry>& entries) const -> bool
{
    std::size_t used = 0;
    auto at = after.empty() ? records_.begin() : records_.upper_bound(after);
    for (; at != records_.end() && used < pageBytes; ++at) {
        entries.push_back(toEntry(at->first, at->second, now));
        used += entryBytes(entries.back());
    }
    return at != records_.end();
}

auto RecordTable::purge(TimePoint now) -> void
{
    auto at = records_.lower_bound(purgeCursor_);
    for (int looked = 0; at != records_.end() && looked < purgeBatch; ++looked) {
        const auto age = now - at->second.startedAt_;
        if (age > fingerprintRetention) {
            at = drop(at);
            continue;
        }
        // An execution ends within the longest deadline, or its answer is of no use to anyone.
        if (age > answerRetention + longestDeadline) {
            dropAnswer(at->second);
        }
        ++at;
    }
    purgeCursor_ = at == records_.end() ? std::string() : at->first;
}

auto RecordTable::setAnswer(KeyRecord& record, const Answer& answer) -> void
{
    dropAnswer(record);
    record.answer_ = std::make_unique<Answer>(answer);
    bytes_ += answerBytes(answer);
}

auto RecordTable::dropAnswer(KeyRecord& record) -> void
{
    if (record.answer_) {
        bytes_ -= answerBytes(*record.answer_);
        record.answer_.reset();
    }
}

auto RecordTable::drop(Records::iterator at) -> Records::iterator
{
    dropAnswer(at->second);
    bytes_ -= keyBytes(at->first);
    return records_.erase(at);
}

} // namespace wagtailhead
