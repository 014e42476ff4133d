#include "fake_store.h"

#include <algorithm>
#include <utility>

namespace wagtailhead {

namespace {

auto hasPrefix(const std::string& key, const std::vector<std::string>& prefixes) -> bool
{
    return std::any_of(prefixes.begin(), prefixes.end(), [&](const std::string& prefix) {
        return key.starts_with(prefix);
    });
}

auto failure(ErrorCode code, std::optional<StoreObject> current = std::nullopt) -> StoreFailure
{
    return { { code, errorCodeName(code) }, std::move(current) };
}

} // namespace

auto FakeStore::run(const StoreCommand& command) -> StoreAnswer
{
    using Verb = StoreCommand::Verb;
    const auto& readable = stale_ ? *stale_ : now_;
    switch (command.verb_) {
    case Verb::Get: {
        const auto found = readable.objects_.find(command.key_);
        return found == readable.objects_.end() ? StoreAnswer(failure(ErrorCode::NotFound)) : found->second;
    }
    case Verb::List: {
        StoreCommand all;
        all.prefixes_ = { command.key_ };
        auto listing = changes(readable, all);
        listing.deleted_.clear();
        return listing;
    }
    case Verb::Watch:
        return changes(readable, command);
    case Verb::Create:
    case Verb::Replace:
    case Verb::Remove:
        break;
    }
    return write(command);
}

auto FakeStore::write(const StoreCommand& command) -> StoreAnswer
{
    const auto found = now_.objects_.find(command.key_);
    const bool exists = found != now_.objects_.end();
    const auto present = exists ? found->second.version_ : 0;
    const auto expected = command.verb_ == StoreCommand::Verb::Create ? 0 : command.version_;
    if (present != expected || (!exists && command.verb_ != StoreCommand::Verb::Create)) {
        return failure(ErrorCode::Conflict, exists ? std::optional(found->second) : std::nullopt);
    }
    history_[now_.version_] = now_;
    ++now_.version_;
    const StoreObject object { command.key_, now_.version_, command.value_ };
    if (command.verb_ == StoreCommand::Verb::Remove) {
        now_.objects_.erase(command.key_);
        now_.deleted_[command.key_] = now_.version_;
    } else {
        now_.objects_[command.key_] = object;
        now_.deleted_.erase(command.key_);
    }
    if (observer_) {
        observer_(object);
    }
    return now_.version_;
}

auto FakeStore::changes(const State& state, const StoreCommand& watch) -> StoreListing
{
    StoreListing listing;
    listing.version_ = state.version_;
    for (const auto& [key, object] : state.objects_) {
        if (object.version_ > watch.version_ && hasPrefix(key, watch.prefixes_)) {
            listing.objects_.push_back(object);
        }
    }
    for (const auto& [key, version] : state.deleted_) {
        if (version > watch.version_ && hasPrefix(key, watch.prefixes_)) {
            listing.deleted_.push_back(key);
        }
    }
    return listing;
}

auto FakeStore::hasChanges(const StoreCommand& watch) const -> bool
{
    const auto& readable = stale_ ? *stale_ : now_;
    const auto listing = changes(readable, watch);
    return !listing.objects_.empty() || !listing.deleted_.empty() || readable.version_ < watch.version_;
}

auto FakeStore::find(const std::string& key) const -> const StoreObject*
{
    const auto found = now_.objects_.find(key);
    return found == now_.objects_.end() ? nullptr : &found->second;
}

auto FakeStore::setStaleReads(bool stale) -> void
{
    stale_ = stale ? std::optional(now_) : std::nullopt;
}

auto FakeStore::rollBack(StoreVersion version) -> void
{
    const auto found = history_.find(version);
    if (found != history_.end()) {
        now_ = found->second;
    }
}

} // namespace wagtailhead
