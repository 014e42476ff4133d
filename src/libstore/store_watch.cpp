#include "store_watch.h"

#include "wagtailhead/log.h"

#include <nlohmann/json.hpp>

namespace wagtailhead {

auto storeItemGeneration(const StoreObject& object) -> std::optional<std::uint64_t>
{
    const char* field = object.key_.starts_with("config/") ? "generation"
        : object.key_.starts_with("shards/")               ? "epoch"
                                                           : nullptr;
    const auto json = nlohmann::json::parse(object.value_, nullptr, false);
    if (!field || !json.is_object() || !json.contains(field) || !json[field].is_number_unsigned()) {
        return std::nullopt;
    }
    return json[field].get<std::uint64_t>();
}

StoreWatch::StoreWatch(const StoreAgentOptions& options, ItemTable& items, std::uint64_t seed)
    : options_(options)
    , items_(items)
    , random_(seed)
    , pause_(options.retryMin_, options.retryMax_)
{
}

auto StoreWatch::tick(TimePoint now, bool active) -> std::optional<StoreCommand>
{
    if (!active || outstanding_ || now < nextCall_) {
        return std::nullopt;
    }
    outstanding_ = true;
    sentAt_ = now;
    if (now >= resyncAt_) {
        lastVersion_ = 0;
    }
    since_ = lastVersion_;
    StoreCommand command;
    command.verb_ = StoreCommand::Verb::Watch;
    command.prefixes_ = { "config/", "shards/", "seeds/" };
    command.version_ = since_;
    command.wait_ = options_.watchWait_;
    return command;
}

auto StoreWatch::onAnswer(TimePoint now, const StoreAnswer& answer) -> const StoreListing*
{
    outstanding_ = false;
    const auto* listing = std::get_if<StoreListing>(&answer);
    if (!listing) {
        nextCall_ = now + pause_.next(random_);
        return nullptr;
    }
    for (const auto& object : listing->objects_) {
        applyObject(object);
    }
    for (const auto& key : listing->deleted_) {
        logEvent(LogLevel::Warning, "store-object-deleted", { { "key", key } });
    }
    if (listing->version_ < since_) {
        ++rollbacks_;
        logEvent(LogLevel::Warning, "store-version-went-back",
            { { "seen", since_ }, { "version", listing->version_ } });
        lastVersion_ = 0;
    } else {
        lastVersion_ = listing->version_;
        resyncAt_ = since_ == 0 ? now + options_.resyncInterval_ : resyncAt_;
    }
    // A store that answers at once without anything new must not be called in a loop.
    const bool idle = listing->version_ <= since_ && now - sentAt_ < options_.watchWait_ / 2;
    if (idle) {
        nextCall_ = now + pause_.next(random_);
    } else {
        pause_.reset();
        nextCall_ = now;
    }
    return listing;
}

auto StoreWatch::applyObject(const StoreObject& object) -> void
{
    if (object.key_.starts_with("seeds/")) {
        return;
    }
    const auto generation = storeItemGeneration(object);
    if (!generation) {
        logEvent(LogLevel::Warning, "store-object-without-generation",
            { { "key", object.key_ }, { "version", object.version_ } });
        return;
    }
    if (items_.apply({ object.key_, *generation, object.value_ })) {
        ++applied_;
        logEvent(LogLevel::Info, "store-object-applied",
            { { "key", object.key_ }, { "generation", *generation }, { "version", object.version_ } });
        return;
    }
    const auto known = items_.find(object.key_);
    if (known && known->generation_ > *generation) {
        ++refused_;
        logEvent(LogLevel::Warning, "store-object-older-than-known",
            { { "key", object.key_ }, { "known", known->generation_ }, { "offered", *generation } });
    }
}

} // namespace wagtailhead
