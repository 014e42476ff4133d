#include "object_table.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

namespace wagtailhead::standin {

namespace {

/// Bounds the values kept for rollback, so that a long run cannot exhaust the memory of the machine.
constexpr std::size_t maxHistoryBytes = std::size_t { 64 } << 20;

auto checkWrite(std::string_view key, const std::string& value) -> std::optional<Error>
{
    if (!isObjectKey(key)) {
        return Error { ErrorCode::InvalidArgument,
            "key '" + std::string(key) + "' is not a path of characters A-Z, a-z, 0-9, '.', '_', '/', '-'" };
    }
    if (value.size() > maxValueBytes) {
        return Error { ErrorCode::InvalidArgument,
            "value of key '" + std::string(key) + "' has " + std::to_string(value.size())
                + " bytes, allowed are " + std::to_string(maxValueBytes) };
    }
    if (!nlohmann::json::accept(value)) {
        return Error { ErrorCode::InvalidArgument, "value of key '" + std::string(key) + "' is no JSON" };
    }
    return std::nullopt;
}

auto undoBytes(const std::string& key, const std::optional<std::string>& value) -> std::size_t
{
    return key.size() + (value ? value->size() : 0);
}

} // namespace

auto isObjectKey(std::string_view key) -> bool
{
    const auto allowed = [](unsigned char c) {
        return c < 0x80 && (std::isalnum(c) != 0 || c == '.' || c == '_' || c == '/' || c == '-');
    };
    return !key.empty() && std::all_of(key.begin(), key.end(), allowed);
}

auto matchesPrefix(std::string_view key, const std::vector<std::string>& prefixes) -> bool
{
    return std::any_of(prefixes.begin(), prefixes.end(), [key](const std::string& prefix) {
        return key.starts_with(prefix);
    });
}

auto ObjectTable::version() const -> Version
{
    return version_;
}

auto ObjectTable::find(std::string_view key) const -> std::optional<StoredObject>
{
    const auto found = entries_.find(key);
    if (found == entries_.end() || !found->second.value_) {
        return std::nullopt;
    }
    return StoredObject { found->first, found->second.version_, *found->second.value_ };
}

auto ObjectTable::currentVersion(std::string_view key) const -> Version
{
    const auto found = entries_.find(key);
    return found == entries_.end() || !found->second.value_ ? 0 : found->second.version_;
}

auto ObjectTable::create(std::string_view key, std::string value) -> Result<WriteOutcome>
{
    if (auto error = checkWrite(key, value)) {
        return *error;
    }
    if (currentVersion(key) != 0) {
        return WriteOutcome { WriteConflict { find(key) } };
    }
    return WriteOutcome { write(key, std::move(value)) };
}

auto ObjectTable::replace(std::string_view key, std::string value, Version expected) -> Result<WriteOutcome>
{
    if (auto error = checkWrite(key, value)) {
        return *error;
    }
    if (const auto current = currentVersion(key); current == 0 || current != expected) {
        return WriteOutcome { WriteConflict { find(key) } };
    }
    return WriteOutcome { write(key, std::move(value)) };
}

auto ObjectTable::remove(std::string_view key, Version expected) -> WriteOutcome
{
    if (const auto current = currentVersion(key); current == 0 || current != expected) {
        return WriteConflict { find(key) };
    }
    return write(key, std::nullopt);
}

auto ObjectTable::write(std::string_view key, std::optional<std::string> value) -> Version
{
    ++version_;
    Undo undo { std::string(key), version_, std::nullopt };
    if (const auto found = entries_.find(key); found != entries_.end()) {
        historyBytes_ += undoBytes(undo.key_, found->second.value_);
        latestKeys_.erase(found->second.version_);
        undo.before_ = std::move(found->second);
    }
    latestKeys_[version_] = undo.key_;
    entries_[undo.key_] = Entry { version_, std::move(value) };
    history_.push_back(std::move(undo));
    while (historyBytes_ > maxHistoryBytes) {
        if (const auto& oldest = history_.front(); oldest.before_) {
            historyBytes_ -= undoBytes(oldest.key_, oldest.before_->value_);
        }
        history_.pop_front();
    }
    return version_;
}

auto ObjectTable::list(std::string_view prefix) const -> ObjectList
{
    ObjectList result { version_, {}, {} };
    for (auto entry = entries_.lower_bound(prefix);
         entry != entries_.end() && entry->first.starts_with(prefix); ++entry) {
        if (entry->second.value_) {
            result.objects_.push_back({ entry->first, entry->second.version_, *entry->second.value_ });
        }
    }
    return result;
}

auto ObjectTable::changesSince(const std::vector<std::string>& prefixes, Version since) const -> ObjectList
{
    ObjectList result { version_, {}, {} };
    for (auto change = latestKeys_.upper_bound(since); change != latestKeys_.end(); ++change) {
        if (!matchesPrefix(change->second, prefixes)) {
            continue;
        }
        if (auto object = find(change->second)) {
            result.objects_.push_back(std::move(*object));
        } else {
            result.deleted_.push_back(change->second);
        }
    }
    return result;
}

auto ObjectTable::rollBack(Version version) -> Result<Done>
{
    const Version oldest = version_ - history_.size();
    if (version > version_ || version < oldest) {
        return Error { ErrorCode::InvalidArgument,
            "version " + std::to_string(version) + " is not in the kept history from "
                + std::to_string(oldest) + " to " + std::to_string(version_) };
    }
    while (!history_.empty() && history_.back().version_ > version) {
        restore(history_.back());
        history_.pop_back();
    }
    version_ = version;
    return Done();
}

auto ObjectTable::restore(const Undo& undo) -> void
{
    latestKeys_.erase(undo.version_);
    if (!undo.before_) {
        entries_.erase(undo.key_);
        return;
    }
    historyBytes_ -= undoBytes(undo.key_, undo.before_->value_);
    latestKeys_[undo.before_->version_] = undo.key_;
    entries_[undo.key_] = *undo.before_;
}

auto ObjectTable::size() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [](const auto& entry) {
        return entry.second.value_.has_value();
    }));
}

} // namespace wagtailhead::standin
