#include "json_fields.h"

#include <algorithm>

namespace wagtailhead {

namespace {

constexpr std::size_t maxTextLength = 200;

} // namespace

JsonFields::JsonFields(const nlohmann::json& object, std::string path)
    : object_(object)
    , path_(std::move(path))
{
    if (!object.is_object()) {
        error_ = "field " + path_ + " has value " + object.dump() + ", allowed is an object";
    }
}

auto JsonFields::find(const char* name) -> const nlohmann::json*
{
    known_.emplace_back(name);
    if (!object_.is_object()) {
        return nullptr;
    }
    const auto found = object_.find(name);
    return found == object_.end() ? nullptr : &*found;
}

auto JsonFields::has(const char* name) -> bool
{
    return find(name) != nullptr;
}

auto JsonFields::ignore(const char* name) -> void
{
    known_.emplace_back(name);
}

auto JsonFields::fail(const std::string& field, const std::string& value, const std::string& allowed) -> void
{
    if (error_.empty()) {
        error_ = "field " + path_ + "." + field + " has value " + value + ", allowed is " + allowed;
    }
}

auto JsonFields::text(const char* name) -> std::string
{
    if (!find(name)) {
        fail(name, "(none)", "a text of 1 to 200 characters");
        return {};
    }
    return text(name, "");
}

auto JsonFields::text(const char* name, std::string_view fallback) -> std::string
{
    const auto* value = find(name);
    if (!value) {
        return std::string(fallback);
    }
    if (!value->is_string() || value->get_ref<const std::string&>().empty()
        || value->get_ref<const std::string&>().size() > maxTextLength) {
        fail(name, value->dump(), "a text of 1 to 200 characters");
        return {};
    }
    return value->get<std::string>();
}

auto JsonFields::integer(const char* name, std::int64_t low, std::int64_t high) -> std::int64_t
{
    if (!find(name)) {
        fail(name, "(none)", "an integer from " + std::to_string(low) + " to " + std::to_string(high));
        return low;
    }
    return integer(name, low, low, high);
}

auto JsonFields::integer(const char* name, std::int64_t fallback, std::int64_t low, std::int64_t high)
    -> std::int64_t
{
    const auto* value = find(name);
    if (!value) {
        return fallback;
    }
    const bool tooLarge = value->is_number_unsigned() && value->get<std::uint64_t>() > INT64_MAX;
    if (!value->is_number_integer() || tooLarge || value->get<std::int64_t>() < low
        || value->get<std::int64_t>() > high) {
        fail(name, value->dump(), "an integer from " + std::to_string(low) + " to " + std::to_string(high));
        return fallback;
    }
    return value->get<std::int64_t>();
}

auto JsonFields::boolean(const char* name, bool fallback) -> bool
{
    const auto* value = find(name);
    if (!value) {
        return fallback;
    }
    if (!value->is_boolean()) {
        fail(name, value->dump(), "true or false");
        return fallback;
    }
    return value->get<bool>();
}

auto JsonFields::texts(const char* name) -> std::vector<std::string>
{
    std::vector<std::string> items;
    each(name, [&](const nlohmann::json& item, const std::string& path) -> Result<Done> {
        if (!item.is_string() || item.get_ref<const std::string&>().empty()
            || item.get_ref<const std::string&>().size() > maxTextLength) {
            return Error { ErrorCode::InvalidArgument,
                "field " + path + " has value " + item.dump()
                    + ", allowed is a text of 1 to 200 characters" };
        }
        items.push_back(item.get<std::string>());
        return Done {};
    });
    return items;
}

auto JsonFields::each(const char* name,
    const std::function<Result<Done>(const nlohmann::json&, const std::string&)>& read) -> void
{
    const auto* value = find(name);
    if (!value || !value->is_array()) {
        fail(name, value ? value->dump() : "(none)", "an array");
        return;
    }
    for (std::size_t i = 0; i < value->size() && error_.empty(); ++i) {
        const auto result = read((*value)[i], path_ + "." + name + "[" + std::to_string(i) + "]");
        if (!isOk(result)) {
            error_ = errorOf(result).text_;
        }
    }
}

auto JsonFields::finish() -> Result<Done>
{
    if (error_.empty()) {
        for (const auto& [name, value] : object_.items()) {
            if (std::find(known_.begin(), known_.end(), name) == known_.end()) {
                error_ = "field " + path_ + "." + name + " has value " + value.dump()
                    + ", allowed is no such field";
                break;
            }
        }
    }
    if (!error_.empty()) {
        return Error { ErrorCode::InvalidArgument, error_ };
    }
    return Done {};
}

auto parseJsonObject(std::string_view text, const std::string& name) -> Result<nlohmann::json>
{
    auto parsed = nlohmann::json::parse(text, nullptr, false);
    if (parsed.is_discarded()) {
        return Error { ErrorCode::InvalidArgument, "document " + name + " is not valid JSON" };
    }
    if (!parsed.is_object()) {
        return Error { ErrorCode::InvalidArgument, "document " + name + " is not a JSON object" };
    }
    return parsed;
}

} // namespace wagtailhead
