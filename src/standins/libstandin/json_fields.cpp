#include "json_fields.h"

#include <algorithm>
#include <sstream>

namespace wagtailhead::standin {

namespace {

auto rangeText(const std::string& kind, double low, double high) -> std::string
{
    std::ostringstream text;
    text << kind << " from " << low << " to " << high;
    return text.str();
}

} // namespace

JsonFields::JsonFields(std::string_view text)
    : object_(nlohmann::json::parse(text, nullptr, false))
{
    if (!object_.is_object()) {
        error_ = Error { ErrorCode::InvalidArgument, "the body is no JSON object" };
        object_ = nlohmann::json::object();
    }
}

auto JsonFields::field(const char* name) -> const nlohmann::json*
{
    known_.insert(name);
    const auto found = object_.find(name);
    return found == object_.end() ? nullptr : &*found;
}

auto JsonFields::fail(const char* name, const std::string& allowed) -> void
{
    if (!error_) {
        error_ = Error { ErrorCode::InvalidArgument,
            "field '" + std::string(name) + "' has value " + object_.at(name).dump() + ", allowed is "
                + allowed };
    }
}

auto JsonFields::readFlag(const char* name, bool& target) -> void
{
    if (const auto* value = field(name)) {
        value->is_boolean() ? void(target = value->get<bool>()) : fail(name, "true or false");
    }
}

auto JsonFields::readInteger(const char* name, std::int64_t& target, std::int64_t low, std::int64_t high)
    -> void
{
    const auto* value = field(name);
    if (value == nullptr) {
        return;
    }
    // Numbers beyond the signed range would wrap, so they are compared as floating point first.
    if (!value->is_number_integer() || value->get<double>() < static_cast<double>(low)
        || value->get<double>() > static_cast<double>(high)) {
        fail(name, "an integer from " + std::to_string(low) + " to " + std::to_string(high));
        return;
    }
    target = value->get<std::int64_t>();
}

auto JsonFields::readNumber(const char* name, double& target, double low, double high) -> void
{
    const auto* value = field(name);
    if (value == nullptr) {
        return;
    }
    if (!value->is_number() || value->get<double>() < low || value->get<double>() > high) {
        fail(name, rangeText("a number", low, high));
        return;
    }
    target = value->get<double>();
}

auto JsonFields::readOptionalNumber(const char* name, std::optional<double>& target, double low, double high)
    -> void
{
    const auto* value = field(name);
    if (value == nullptr) {
        return;
    }
    if (value->is_null()) {
        target.reset();
        return;
    }
    double number = 0;
    readNumber(name, number, low, high);
    target = number;
}

auto JsonFields::readMilliseconds(const char* name, milliseconds& target, milliseconds high) -> void
{
    std::int64_t count = target.count();
    readInteger(name, count, 0, high.count());
    target = milliseconds(count);
}

auto JsonFields::readText(const char* name, std::string& target) -> void
{
    if (const auto* value = field(name)) {
        value->is_string() ? void(target = value->get<std::string>()) : fail(name, "a text");
    }
}

auto JsonFields::readChoice(const char* name, std::string& target, const std::vector<std::string>& allowed)
    -> void
{
    const auto* value = field(name);
    if (value == nullptr) {
        return;
    }
    if (value->is_string()
        && std::find(allowed.begin(), allowed.end(), value->get<std::string>()) != allowed.end()) {
        target = value->get<std::string>();
        return;
    }
    std::string names;
    for (const auto& item : allowed) {
        names += (names.empty() ? "'" : ", '") + item + "'";
    }
    fail(name, "one of " + names);
}

auto JsonFields::has(const char* name) const -> bool
{
    return object_.contains(name);
}

auto JsonFields::error() const -> std::optional<Error>
{
    if (error_) {
        return error_;
    }
    for (const auto& item : object_.items()) {
        if (!known_.contains(item.key())) {
            return Error { ErrorCode::InvalidArgument, "unknown field '" + item.key() + "'" };
        }
    }
    return std::nullopt;
}

} // namespace wagtailhead::standin
