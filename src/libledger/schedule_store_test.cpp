#include "schedule_world.h"

namespace wagtailhead::schedule {

auto FakeStore::current(const std::string& key) const -> const Write*
{
    for (auto at = history_.rbegin(); at != history_.rend(); ++at) {
        if (at->key_ == key) {
            return &*at;
        }
    }
    return nullptr;
}

auto FakeStore::read(const std::string& key, std::mt19937_64& random) const -> StoreReadResult
{
    const auto* found = current(key);
    if (staleReads_) {
        std::vector<const Write*> older { nullptr };
        for (const auto& write : history_) {
            if (write.key_ == key) {
                older.push_back(&write);
            }
        }
        found = older[random() % older.size()];
    }
    if (!found) {
        return StoreAbsent {};
    }
    return StoredShard { found->version_, found->value_ };
}

auto FakeStore::write(const std::string& key, const std::string& value, std::optional<std::uint64_t> expected)
    -> StoreWriteResult
{
    const auto* found = current(key);
    const auto isExpected = expected ? found && found->version_ == *expected : !found;
    if (!isExpected) {
        return found ? StoreWriteResult(StoredShard { found->version_, found->value_ }) : StoreAbsent {};
    }
    history_.push_back({ ++version_, key, value });
    return StoreWritten { version_ };
}

auto FakeStore::rollBack(std::uint64_t version, bool reuseVersions) -> void
{
    std::erase_if(history_, [version](const Write& write) {
        return write.version_ > version;
    });
    if (reuseVersions) {
        version_ = std::min(version_, version);
    }
}

auto FakeStore::version() const -> std::uint64_t
{
    return version_;
}

auto FakeStore::all() const -> std::vector<std::string>
{
    std::map<std::string, std::string> newest;
    for (const auto& write : history_) {
        newest[write.key_] = write.value_;
    }
    std::vector<std::string> values;
    values.reserve(newest.size());
    for (const auto& [key, value] : newest) {
        values.push_back(value);
    }
    return values;
}

} // namespace wagtailhead::schedule
