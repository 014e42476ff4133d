#include "wagtailhead/config_documents.h"

#include "json_fields.h"

#include <algorithm>
#include <array>
#include <set>

namespace wagtailhead {

namespace {

constexpr std::array kindNames { "classes", "retries", "limits", "links", "leaving", "lost" };
constexpr std::int64_t maxLinkBytesPerSecond = 100'000'000'000;
/// Later times do not fit into WallClock::time_point, which counts nanoseconds.
constexpr std::int64_t maxUnixMs = 9'000'000'000'000;

/// Parses a document and hands its fields to `read`; the fields that every document may have are known.
template <typename Config>
auto parseDocument(std::string_view text, ConfigKind kind,
    const std::function<void(JsonFields&, Config&)>& read) -> Result<Config>
{
    auto json = parseJsonObject(text, configKindName(kind));
    if (!isOk(json)) {
        return errorOf(json);
    }
    JsonFields fields(valueOf(json), configKindName(kind));
    fields.integer("generation", 1, INT64_MAX);
    // Written by confirmed intents: the intent's id and the last changes.
    fields.ignore("intent");
    fields.ignore("history");
    Config config;
    read(fields, config);
    const auto finished = fields.finish();
    if (!isOk(finished)) {
        return errorOf(finished);
    }
    return config;
}

auto parseRule(const nlohmann::json& json, const std::string& path) -> Result<ClassRule>
{
    JsonFields fields(json, path);
    ClassRule rule;
    rule.service_ = fields.text("service");
    rule.method_ = fields.text("method", "");
    rule.path_ = fields.text("path", "");
    const auto priorityText = fields.text("priority");
    if (const auto priority = parsePriority(priorityText); isOk(priority)) {
        rule.priority_ = valueOf(priority);
    } else {
        fields.fail("priority", "\"" + priorityText + "\"", "critical, interactive, internal or bulk");
    }
    rule.once_ = fields.boolean("once", false);
    if (fields.has("idempotent")) {
        rule.idempotent_ = fields.boolean("idempotent", false);
    }
    const auto finished = fields.finish();
    if (!isOk(finished)) {
        return errorOf(finished);
    }
    return rule;
}

auto isIdempotentMethod(std::string_view method) -> bool
{
    constexpr std::array<std::string_view, 5> methods { "GET", "HEAD", "OPTIONS", "PUT", "DELETE" };
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

auto matches(const ClassRule& rule, std::string_view service, std::string_view method, std::string_view path)
    -> bool
{
    return rule.service_ == service && (rule.method_.empty() || rule.method_ == method)
        && path.starts_with(rule.path_);
}

auto parseRegion(const nlohmann::json& json, const std::string& path) -> Result<RegionConfig>
{
    JsonFields fields(json, path);
    RegionConfig region { fields.text("name"), fields.texts("zones") };
    const auto finished = fields.finish();
    if (!isOk(finished)) {
        return errorOf(finished);
    }
    return region;
}

auto parseLostNode(const nlohmann::json& json, const std::string& path) -> Result<LostNode>
{
    JsonFields fields(json, path);
    LostNode node;
    node.ref_.id_ = fields.text("id");
    node.ref_.incarnation_ = static_cast<Incarnation>(fields.integer("incarnation", 1, INT64_MAX));
    node.declaredAt_ = WallClock::time_point(milliseconds(fields.integer("declaredMs", 1, maxUnixMs)));
    const auto finished = fields.finish();
    if (!isOk(finished)) {
        return errorOf(finished);
    }
    return node;
}

/// Returns a name that stands twice among all regions and zones, or an empty text. A key prefix must
/// name exactly one of them.
auto repeatedName(const std::vector<RegionConfig>& regions) -> std::string
{
    std::set<std::string> seen;
    for (const auto& region : regions) {
        if (!seen.insert(region.name_).second) {
            return region.name_;
        }
        for (const auto& zone : region.zones_) {
            if (!seen.insert(zone).second) {
                return zone;
            }
        }
    }
    return {};
}

} // namespace

auto configKindName(ConfigKind kind) -> const char*
{
    return kindNames.at(static_cast<std::size_t>(kind));
}

auto parseConfigKind(std::string_view text) -> Result<ConfigKind>
{
    for (const auto kind : allConfigKinds) {
        if (text == configKindName(kind)) {
            return kind;
        }
    }
    return Error { ErrorCode::InvalidArgument,
        "configuration kind '" + std::string(text)
            + "' is not one of classes, retries, limits, links, leaving, lost" };
}

auto configKey(ConfigKind kind) -> std::string
{
    return std::string("config/") + configKindName(kind);
}

auto ClassesConfig::classify(std::string_view service, std::string_view method, std::string_view path) const
    -> Classification
{
    for (const auto& rule : rules_) {
        if (matches(rule, service, method, path)) {
            return { rule.priority_, rule.once_, rule.idempotent_.value_or(isIdempotentMethod(method)) };
        }
    }
    return { default_, false, isIdempotentMethod(method) };
}

auto ClassesConfig::hasOnce(std::string_view service) const -> bool
{
    return std::any_of(rules_.begin(), rules_.end(), [&](const ClassRule& rule) {
        return rule.once_ && rule.service_ == service;
    });
}

auto ClassesConfig::onceServices() const -> std::vector<std::string>
{
    std::set<std::string> services;
    for (const auto& rule : rules_) {
        if (rule.once_) {
            services.insert(rule.service_);
        }
    }
    return { services.begin(), services.end() };
}

auto LinksConfig::hasRegion(std::string_view name) const -> bool
{
    return std::any_of(regions_.begin(), regions_.end(), [&](const RegionConfig& region) {
        return region.name_ == name;
    });
}

auto LinksConfig::hasZone(std::string_view name) const -> bool
{
    return regionOf(name).has_value();
}

auto LinksConfig::regionOf(std::string_view zone) const -> std::optional<std::string>
{
    for (const auto& region : regions_) {
        if (std::find(region.zones_.begin(), region.zones_.end(), zone) != region.zones_.end()) {
            return region.name_;
        }
    }
    return std::nullopt;
}

auto LostConfig::byNode() const -> std::map<NodeRef, WallClock::time_point>
{
    std::map<NodeRef, WallClock::time_point> declared;
    for (const auto& node : nodes_) {
        declared.emplace(node.ref_, node.declaredAt_);
    }
    return declared;
}

auto parseClassesConfig(std::string_view json) -> Result<ClassesConfig>
{
    return parseDocument<ClassesConfig>(
        json, ConfigKind::Classes, [](JsonFields& fields, ClassesConfig& config) {
            fields.each("rules", [&](const nlohmann::json& item, const std::string& path) -> Result<Done> {
                auto rule = parseRule(item, path);
                if (!isOk(rule)) {
                    return errorOf(rule);
                }
                config.rules_.push_back(valueOf(std::move(rule)));
                return Done {};
            });
            const auto name = fields.text("default", "interactive");
            if (const auto priority = parsePriority(name); isOk(priority)) {
                config.default_ = valueOf(priority);
            } else {
                fields.fail("default", "\"" + name + "\"", "critical, interactive, internal or bulk");
            }
        });
}

auto parseRetriesConfig(std::string_view json) -> Result<RetriesConfig>
{
    return parseDocument<RetriesConfig>(
        json, ConfigKind::Retries, [](JsonFields& fields, RetriesConfig& config) {
            config.allowance_ = static_cast<int>(fields.integer("allowance", config.allowance_, 0, 100));
            config.budgetPercent_
                = static_cast<int>(fields.integer("budget_percent", config.budgetPercent_, 0, 100));
        });
}

auto parseLimitsConfig(std::string_view json) -> Result<LimitsConfig>
{
    return parseDocument<LimitsConfig>(
        json, ConfigKind::Limits, [](JsonFields& fields, LimitsConfig& config) {
            constexpr std::int64_t mebibyte = 1 << 20;
            config.maxBodyBytes_
                = static_cast<std::size_t>(fields.integer("max_body_bytes", mebibyte, 1, 16 * mebibyte));
            config.defaultDeadline_ = milliseconds(fields.integer("default_deadline_ms", 2000, 1, 60000));
            config.maxDeadline_ = milliseconds(fields.integer("max_deadline_ms", 60000, 1, 60000));
            config.maxQueue_ = static_cast<int>(fields.integer("max_queue", 0, 0, 100000));
            if (config.defaultDeadline_ > config.maxDeadline_) {
                fields.fail("default_deadline_ms",
                    std::to_string(static_cast<int>(toMilliseconds(config.defaultDeadline_))),
                    "at most max_deadline_ms");
            }
        });
}

auto parseLinksConfig(std::string_view json) -> Result<LinksConfig>
{
    return parseDocument<LinksConfig>(json, ConfigKind::Links, [](JsonFields& fields, LinksConfig& config) {
        fields.each("regions", [&](const nlohmann::json& item, const std::string& path) -> Result<Done> {
            auto region = parseRegion(item, path);
            if (!isOk(region)) {
                return errorOf(region);
            }
            config.regions_.push_back(valueOf(std::move(region)));
            return Done {};
        });
        config.linkBytesPerSecond_
            = fields.integer("link_bytes_per_second", config.linkBytesPerSecond_, 0, maxLinkBytesPerSecond);
        if (const auto name = repeatedName(config.regions_); !name.empty()) {
            fields.fail("regions", "\"" + name + "\" twice", "region and zone names that are all different");
        }
    });
}

auto parseLeavingConfig(std::string_view json) -> Result<LeavingConfig>
{
    return parseDocument<LeavingConfig>(
        json, ConfigKind::Leaving, [](JsonFields& fields, LeavingConfig& config) {
            config.nodes_ = fields.texts("nodes");
        });
}

auto parseLostConfig(std::string_view json) -> Result<LostConfig>
{
    return parseDocument<LostConfig>(json, ConfigKind::Lost, [](JsonFields& fields, LostConfig& config) {
        fields.each("nodes", [&](const nlohmann::json& item, const std::string& path) -> Result<Done> {
            auto node = parseLostNode(item, path);
            if (!isOk(node)) {
                return errorOf(node);
            }
            config.nodes_.push_back(valueOf(std::move(node)));
            return Done {};
        });
    });
}

auto parseGeneration(std::string_view json) -> Result<std::uint64_t>
{
    auto parsed = parseJsonObject(json, "configuration");
    if (!isOk(parsed)) {
        return errorOf(parsed);
    }
    JsonFields fields(valueOf(parsed), "configuration");
    const auto generation = fields.integer("generation", 0, 1, INT64_MAX);
    if (generation < 1) {
        return Error { ErrorCode::InvalidArgument,
            "field generation is missing or not an integer of at least 1" };
    }
    return static_cast<std::uint64_t>(generation);
}

auto checkConfigDocument(ConfigKind kind, std::string_view json) -> Result<Done>
{
    const auto discard = [](const auto& parsed) -> Result<Done> {
        if (!isOk(parsed)) {
            return errorOf(parsed);
        }
        return Done {};
    };
    switch (kind) {
    case ConfigKind::Classes:
        return discard(parseClassesConfig(json));
    case ConfigKind::Retries:
        return discard(parseRetriesConfig(json));
    case ConfigKind::Limits:
        return discard(parseLimitsConfig(json));
    case ConfigKind::Links:
        return discard(parseLinksConfig(json));
    case ConfigKind::Leaving:
        return discard(parseLeavingConfig(json));
    case ConfigKind::Lost:
        return discard(parseLostConfig(json));
    }
    return Error { ErrorCode::Internal, "unknown configuration kind" };
}

} // namespace wagtailhead
