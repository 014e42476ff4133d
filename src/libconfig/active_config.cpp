#include "wagtailhead/active_config.h"

#include "wagtailhead/log.h"

namespace wagtailhead {

namespace {

/// Parses a document into the matching part of a snapshot.
auto putInForce(ActiveConfig& config, ConfigKind kind, const std::string& json) -> Result<Done>
{
    const auto store = [](auto parsed, auto& part) -> Result<Done> {
        if (!isOk(parsed)) {
            return errorOf(parsed);
        }
        part = valueOf(std::move(parsed));
        return Done {};
    };
    switch (kind) {
    case ConfigKind::Classes:
        return store(parseClassesConfig(json), config.classes_);
    case ConfigKind::Retries:
        return store(parseRetriesConfig(json), config.retries_);
    case ConfigKind::Limits:
        return store(parseLimitsConfig(json), config.limits_);
    case ConfigKind::Links:
        return store(parseLinksConfig(json), config.links_);
    case ConfigKind::Leaving:
        return store(parseLeavingConfig(json), config.leaving_);
    case ConfigKind::Lost:
        return store(parseLostConfig(json), config.lost_);
    }
    return Error { ErrorCode::Internal, "unknown configuration kind" };
}

auto kindOfKey(const std::string& key) -> Result<ConfigKind>
{
    return parseConfigKind(std::string_view(key).substr(key.find('/') + 1));
}

} // namespace

auto ActiveConfig::isComplete() const -> bool
{
    return classes_ && links_;
}

auto ActiveConfig::classify(std::string_view service, std::string_view method, std::string_view path) const
    -> Classification
{
    if (!classes_) {
        return { Priority::Bulk, false, false };
    }
    return classes_->classify(service, method, path);
}

ConfigView::ConfigView()
    : current_(std::make_shared<ActiveConfig>())
{
}

auto ConfigView::current() const -> std::shared_ptr<const ActiveConfig>
{
    const std::lock_guard lock(mutex_);
    return current_;
}

auto ConfigView::apply(const VersionedItem& item) -> void
{
    const auto kind = kindOfKey(item.key_);
    if (!isOk(kind)) {
        logEvent(LogLevel::Warning, "config_kind_unknown", { { "key", item.key_ } });
        return;
    }
    std::shared_ptr<const ActiveConfig> changed;
    {
        const std::lock_guard lock(mutex_);
        auto next = std::make_shared<ActiveConfig>(*current_);
        auto& generation = next->generations_[valueOf(kind)];
        if (item.generation_ <= generation) {
            return;
        }
        const auto result = putInForce(*next, valueOf(kind), item.value_);
        if (!isOk(result)) {
            logEvent(LogLevel::Error, "config_invalid",
                { { "key", item.key_ }, { "error", errorOf(result).text_ } });
            return;
        }
        generation = item.generation_;
        current_ = next;
        changed = next;
    }
    logEvent(LogLevel::Info, "config_in_force", { { "key", item.key_ }, { "generation", item.generation_ } });
    for (const auto& listener : listeners_) {
        listener(changed);
    }
}

auto ConfigView::follow(ItemTable& items) -> void
{
    items.onChange("config/", [this](const VersionedItem& item) {
        apply(item);
    });
}

auto ConfigView::onChange(Listener listener) -> void
{
    listeners_.push_back(std::move(listener));
}

} // namespace wagtailhead
