#include "wagtailhead/settings.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <docopt/docopt.h>
#include <iostream>
#include <sstream>

namespace wagtailhead {

namespace {

auto environmentName(std::string_view flag) -> std::string
{
    std::string name = "WAGTAILHEAD_";
    for (const char c : flag) {
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    return name;
}

/// Returns a docopt value as text, or nothing when the option or argument was not given.
auto valueText(const docopt::value& value) -> std::optional<std::string>
{
    if (value.isString()) {
        return value.asString();
    }
    if (value.isBool() && value.asBool()) {
        return "true";
    }
    if (value.isLong() && value.asLong() > 0) {
        return std::to_string(value.asLong());
    }
    if (value.isStringList() && !value.asStringList().empty()) {
        std::string joined;
        for (const auto& item : value.asStringList()) {
            joined += (joined.empty() ? "" : ",") + item;
        }
        return joined;
    }
    return std::nullopt;
}

auto programOf(const char* path) -> std::string
{
    const std::string text = path;
    return text.substr(text.find_last_of('/') + 1);
}

auto parseInteger(std::string_view text) -> std::optional<std::int64_t>
{
    std::int64_t number = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

} // namespace

auto exitWithUsageError(std::string_view program, std::string_view text) -> void
{
    std::cerr << program << ": " << text << '\n';
    std::exit(usageExitStatus); // NOLINT(concurrency-mt-unsafe): called from main before threads start
}

auto Settings::fromCommandLine(const char* usage, int argc, const char* const* argv) -> Settings
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    const std::string program = programOf(argv[0]);
    Settings settings;
    try {
        const auto parsed = docopt::docopt_parse(usage, words, true, true);
        for (const auto& [name, value] : parsed) {
            if (auto text = valueText(value)) {
                const bool option = name.starts_with("--");
                (option ? settings.values_ : settings.arguments_)[option ? name.substr(2) : name] = *text;
            }
        }
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage << '\n';
        std::exit(EXIT_SUCCESS);
    } catch (const docopt::DocoptExitVersion&) {
        std::cout << program << ' ' << WAGTAILHEAD_VERSION << '\n';
        std::exit(EXIT_SUCCESS);
    } catch (const docopt::DocoptArgumentError& error) {
        std::string reason = error.what();
        std::replace(reason.begin(), reason.end(), '\n', ' ');
        exitWithUsageError(program,
            (reason.empty() ? "the command line does not match the usage" : reason) + "; see --help");
    }
    return settings;
}

auto Settings::fromMap(
    std::map<std::string, std::string> values, std::map<std::string, std::string> arguments) -> Settings
{
    Settings settings;
    settings.values_ = std::move(values);
    settings.arguments_ = std::move(arguments);
    return settings;
}

auto Settings::find(std::string_view name) const -> std::optional<std::string>
{
    if (const auto found = values_.find(std::string(name)); found != values_.end()) {
        return found->second;
    }
    if (const char* value = std::getenv(environmentName(name).c_str())) {
        return std::string(value);
    }
    return std::nullopt;
}

auto Settings::given(std::string_view name) const -> std::optional<std::string>
{
    const auto found = values_.find(std::string(name));
    return found == values_.end() ? std::nullopt : std::optional(found->second);
}

auto Settings::text(std::string_view name) const -> Result<std::string>
{
    if (auto value = find(name); value && !value->empty()) {
        return *value;
    }
    return Error { ErrorCode::InvalidArgument,
        "setting --" + std::string(name) + " (" + environmentName(name) + ") is required" };
}

auto Settings::text(std::string_view name, std::string_view fallback) const -> std::string
{
    return find(name).value_or(std::string(fallback));
}

auto Settings::integer(std::string_view name, std::int64_t fallback, std::int64_t low,
    std::int64_t high) const -> Result<std::int64_t>
{
    const auto value = find(name);
    if (!value) {
        return fallback;
    }
    const auto number = parseInteger(*value);
    if (!number || *number < low || *number > high) {
        return Error { ErrorCode::InvalidArgument,
            "setting --" + std::string(name) + " has value '" + *value + "', allowed is an integer from "
                + std::to_string(low) + " to " + std::to_string(high) };
    }
    return *number;
}

auto Settings::duration(std::string_view name, milliseconds fallback, milliseconds low,
    milliseconds high) const -> Result<milliseconds>
{
    auto number = integer(name, fallback.count(), low.count(), high.count());
    if (!isOk(number)) {
        return errorOf(number);
    }
    return milliseconds(valueOf(number));
}

auto Settings::flag(std::string_view name) const -> bool
{
    const auto value = find(name);
    return value && (*value == "true" || *value == "1");
}

auto Settings::list(std::string_view name) const -> std::vector<std::string>
{
    std::vector<std::string> items;
    std::istringstream stream(find(name).value_or(""));
    for (std::string item; std::getline(stream, item, ',');) {
        if (!item.empty()) {
            items.push_back(item);
        }
    }
    return items;
}

auto Settings::argument(std::string_view name) const -> std::optional<std::string>
{
    const auto found = arguments_.find(std::string(name));
    return found == arguments_.end() ? std::nullopt : std::optional(found->second);
}

auto parseAddress(std::string_view text) -> Result<Address>
{
    const auto failure = Error { ErrorCode::InvalidArgument,
        "address '" + std::string(text) + "' is not of the form a.b.c.d:port with a port of 1 to 65535" };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return failure;
    }
    const auto port = parseInteger(text.substr(colon + 1));
    Address address { std::string(text.substr(0, colon)), 0 };
    in_addr parsed {};
    if (!port || *port < 1 || *port > UINT16_MAX || inet_pton(AF_INET, address.ip_.c_str(), &parsed) != 1) {
        return failure;
    }
    address.port_ = static_cast<std::uint16_t>(*port);
    return address;
}

} // namespace wagtailhead
