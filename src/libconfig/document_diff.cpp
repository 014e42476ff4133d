#include "document_diff.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace wagtailhead {

namespace {

using Json = nlohmann::json;

/// Above these values retries add noticeably to an overload.
constexpr int highAllowance = 10;
constexpr int highBudgetPercent = 20;

auto milliseconds64(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

/// Returns the parsed document, or the defaults.
template <typename Config>
auto parsedOr(const std::optional<std::string>& text, Result<Config> (*parse)(std::string_view)) -> Config
{
    if (text) {
        if (auto parsed = parse(*text); isOk(parsed)) {
            return valueOf(std::move(parsed));
        }
    }
    return {};
}

auto addIfChanged(DocumentDiff& diff, const std::string& field, const Json& before, const Json& after) -> void
{
    if (before != after) {
        diff.changes_.push_back({ field, before.dump(), after.dump(), {} });
    }
}

/// Reports the elements that only one of two lists has.
auto diffNames(DocumentDiff& diff, const std::string& field, const std::vector<std::string>& before,
    const std::vector<std::string>& after) -> void
{
    const auto element = [&](const std::string& name) {
        auto text = field;
        return text.append("[").append(name).append("]");
    };
    const auto lacks = [](const std::vector<std::string>& names, const std::string& name) {
        return std::find(names.begin(), names.end(), name) == names.end();
    };
    for (const auto& name : before) {
        if (lacks(after, name)) {
            diff.changes_.push_back({ element(name), "true", {}, {} });
        }
    }
    for (const auto& name : after) {
        if (lacks(before, name)) {
            diff.changes_.push_back({ element(name), {}, "true", {} });
        }
    }
}

auto diffRetries(DocumentDiff& diff, const RetriesConfig& before, const RetriesConfig& after) -> void
{
    addIfChanged(diff, "retries.allowance", before.allowance_, after.allowance_);
    addIfChanged(diff, "retries.budget_percent", before.budgetPercent_, after.budgetPercent_);
    if (after.allowance_ > highAllowance && after.allowance_ != before.allowance_) {
        diff.warnings_.push_back(
            "an allowance above 10 lets one request cause more than 10 extra attempts under overload");
    }
    if (after.budgetPercent_ > highBudgetPercent && after.budgetPercent_ != before.budgetPercent_) {
        diff.warnings_.push_back(
            "a budget above 20 percent lets retries add more than a fifth to the load of every service");
    }
}

auto diffLimits(DocumentDiff& diff, const LimitsConfig& before, const LimitsConfig& after) -> void
{
    addIfChanged(diff, "limits.max_body_bytes", before.maxBodyBytes_, after.maxBodyBytes_);
    addIfChanged(diff, "limits.default_deadline_ms", milliseconds64(before.defaultDeadline_),
        milliseconds64(after.defaultDeadline_));
    addIfChanged(diff, "limits.max_deadline_ms", milliseconds64(before.maxDeadline_),
        milliseconds64(after.maxDeadline_));
    addIfChanged(diff, "limits.max_queue", before.maxQueue_, after.maxQueue_);
    if (after.maxBodyBytes_ < before.maxBodyBytes_) {
        diff.warnings_.push_back("requests with larger bodies than before will be refused with 413");
    }
    if (after.maxDeadline_ < before.maxDeadline_) {
        diff.warnings_.push_back("requests with longer deadlines than before will be refused with 400");
    }
}

auto namesOf(const LinksConfig& links) -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto& region : links.regions_) {
        names.push_back(region.name_);
        names.insert(names.end(), region.zones_.begin(), region.zones_.end());
    }
    return names;
}

auto diffLinks(DocumentDiff& diff, const LinksConfig& before, const LinksConfig& after) -> void
{
    addIfChanged(diff, "links.link_bytes_per_second", before.linkBytesPerSecond_, after.linkBytesPerSecond_);
    std::vector<std::string> oldPairs;
    std::vector<std::string> newPairs;
    for (const auto& [links, pairs] : { std::pair(&before, &oldPairs), std::pair(&after, &newPairs) }) {
        for (const auto& region : links->regions_) {
            pairs->push_back(region.name_);
            for (const auto& zone : region.zones_) {
                pairs->push_back(region.name_ + "/" + zone);
            }
        }
    }
    diffNames(diff, "links.regions", oldPairs, newPairs);
    auto oldNames = namesOf(before);
    auto newNames = namesOf(after);
    std::sort(oldNames.begin(), oldNames.end());
    std::sort(newNames.begin(), newNames.end());
    std::vector<std::string> moved;
    std::set_symmetric_difference(
        oldNames.begin(), oldNames.end(), newNames.begin(), newNames.end(), std::back_inserter(moved));
    for (const auto& name : moved) {
        diff.warnings_.push_back("keys of the form " + name
            + ":<rest> move to other shards: repeats of such orders from before the change may run again, so "
              "confirm only if callers have not used this prefix in the last 6 hours");
    }
    if (after.linkBytesPerSecond_ == 0 && before.linkBytesPerSecond_ != 0) {
        diff.warnings_.push_back("with a budget of 0 no call goes to another region");
    }
}

auto ruleJson(const ClassRule& rule) -> Json
{
    Json json { { "priority", priorityName(rule.priority_) }, { "once", rule.once_ } };
    if (rule.idempotent_) {
        json["idempotent"] = *rule.idempotent_;
    }
    return json;
}

auto ruleName(const ClassRule& rule) -> std::string
{
    return rule.service_ + " " + (rule.method_.empty() ? "*" : rule.method_) + " "
        + (rule.path_.empty() ? "*" : rule.path_);
}

using RuleList = std::vector<std::pair<std::string, const ClassRule*>>;

/// Returns the rules of each service in their order, which decides within a service only. The first of
/// two rules with the same name decides, so later ones are left out.
auto rulesByService(const ClassesConfig& classes) -> std::map<std::string, RuleList>
{
    std::map<std::string, RuleList> services;
    for (const auto& rule : classes.rules_) {
        auto& list = services[rule.service_];
        const auto name = ruleName(rule);
        const bool known = std::any_of(list.begin(), list.end(), [&](const auto& other) {
            return other.first == name;
        });
        if (!known) {
            list.emplace_back(name, &rule);
        }
    }
    return services;
}

auto find(const RuleList& rules, const std::string& name) -> const ClassRule*
{
    for (const auto& [other, rule] : rules) {
        if (other == name) {
            return rule;
        }
    }
    return nullptr;
}

auto orderOf(const RuleList& rules, const RuleList& common) -> Json
{
    auto order = Json::array();
    for (const auto& [name, rule] : rules) {
        if (find(common, name)) {
            order.push_back(name);
        }
    }
    return order;
}

auto warnAboutRule(
    DocumentDiff& diff, const std::string& name, const ClassRule* before, const ClassRule* after) -> void
{
    if (before && before->once_ && (!after || !after->once_)) {
        diff.warnings_.push_back(
            "requests of " + name + " are no longer protected from running twice by this rule");
    }
    if (before && before->priority_ == Priority::Critical
        && (!after || after->priority_ != Priority::Critical)) {
        diff.warnings_.push_back("requests of " + name + " are no longer shed last by this rule");
    }
    if (after && after->once_ && (!before || !before->once_)) {
        diff.warnings_.push_back("requests of " + name + " without Idempotency-Key will be refused with 400");
    }
}

auto diffRules(DocumentDiff& diff, const std::string& service, const RuleList& before, const RuleList& after)
    -> void
{
    const auto report = [&](const std::string& name, const ClassRule* oldRule, const ClassRule* newRule) {
        const auto oldValue = oldRule ? ruleJson(*oldRule).dump() : std::string();
        const auto newValue = newRule ? ruleJson(*newRule).dump() : std::string();
        if (oldValue != newValue) {
            diff.changes_.push_back({ "classes.rules[" + name + "]", oldValue, newValue, service });
            warnAboutRule(diff, name, oldRule, newRule);
        }
    };
    for (const auto& [name, rule] : before) {
        report(name, rule, find(after, name));
    }
    for (const auto& [name, rule] : after) {
        if (!find(before, name)) {
            report(name, nullptr, rule);
        }
    }
    const auto oldOrder = orderOf(before, after);
    const auto newOrder = orderOf(after, before);
    if (oldOrder != newOrder) {
        diff.changes_.push_back(
            { "classes.rules[" + service + "].order", oldOrder.dump(), newOrder.dump(), service });
    }
}

auto diffClasses(DocumentDiff& diff, const ClassesConfig& before, const ClassesConfig& after) -> void
{
    addIfChanged(diff, "classes.default", priorityName(before.default_), priorityName(after.default_));
    const auto oldRules = rulesByService(before);
    const auto newRules = rulesByService(after);
    std::set<std::string> services;
    for (const auto* rules : { &oldRules, &newRules }) {
        for (const auto& [service, list] : *rules) {
            services.insert(service);
        }
    }
    const auto rulesOf = [](const auto& all, const std::string& service) {
        const auto found = all.find(service);
        return found == all.end() ? RuleList() : found->second;
    };
    for (const auto& service : services) {
        diffRules(diff, service, rulesOf(oldRules, service), rulesOf(newRules, service));
    }
}

auto lostNames(const LostConfig& lost) -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto& node : lost.nodes_) {
        names.push_back(node.ref_.id_ + "@" + std::to_string(node.ref_.incarnation_));
    }
    return names;
}

} // namespace

auto diffDocuments(ConfigKind kind, const std::optional<std::string>& before, const std::string& after)
    -> DocumentDiff
{
    DocumentDiff diff;
    const std::optional<std::string> next(after);
    switch (kind) {
    case ConfigKind::Classes:
        diffClasses(diff, parsedOr(before, parseClassesConfig), parsedOr(next, parseClassesConfig));
        break;
    case ConfigKind::Retries:
        diffRetries(diff, parsedOr(before, parseRetriesConfig), parsedOr(next, parseRetriesConfig));
        break;
    case ConfigKind::Limits:
        diffLimits(diff, parsedOr(before, parseLimitsConfig), parsedOr(next, parseLimitsConfig));
        break;
    case ConfigKind::Links:
        diffLinks(diff, parsedOr(before, parseLinksConfig), parsedOr(next, parseLinksConfig));
        break;
    case ConfigKind::Leaving:
        diffNames(diff, "leaving.nodes", parsedOr(before, parseLeavingConfig).nodes_,
            parsedOr(next, parseLeavingConfig).nodes_);
        break;
    case ConfigKind::Lost:
        diffNames(diff, "lost.nodes", lostNames(parsedOr(before, parseLostConfig)),
            lostNames(parsedOr(next, parseLostConfig)));
        break;
    }
    return diff;
}

} // namespace wagtailhead
