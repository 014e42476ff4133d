/// Settings of a program: flags read by docopt, with environment variables as defaults under them.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/result.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhead {

/// The exit status of every program for a bad, unknown or contradictory setting.
constexpr int usageExitStatus = 2;

/// The values of one program start. A flag `--peer-listen` falls back to the environment variable
/// `WAGTAILHEAD_PEER_LISTEN`, and then to the default given by the reader.
class Settings {
public:
    /// Parses the command line against a docopt usage text. Prints help or the version and exits with
    /// status 0 when asked to; prints one line and exits with status 2 when the command line does not
    /// match the usage text. Options in the usage text must carry no docopt defaults.
    static auto fromCommandLine(const char* usage, int argc, const char* const* argv) -> Settings;

    /// Builds settings from a map of flag (without dashes) to value, and from a map of command or argument
    /// ("intent", "KIND") to value, for tests.
    static auto fromMap(std::map<std::string, std::string> values,
        std::map<std::string, std::string> arguments = {}) -> Settings;

    /// Returns the value of `name` ("peer-listen"), or nothing if neither flag nor variable is set.
    auto find(std::string_view name) const -> std::optional<std::string>;

    /// Returns the value of `name` if it stands on the command line, whatever the environment says.
    auto given(std::string_view name) const -> std::optional<std::string>;

    /// Returns a required text.
    auto text(std::string_view name) const -> Result<std::string>;
    auto text(std::string_view name, std::string_view fallback) const -> std::string;

    /// Returns an integer within [low, high].
    auto integer(std::string_view name, std::int64_t fallback, std::int64_t low, std::int64_t high) const
        -> Result<std::int64_t>;

    /// Returns a duration given in milliseconds, within [low, high].
    auto duration(std::string_view name, milliseconds fallback, milliseconds low, milliseconds high) const
        -> Result<milliseconds>;

    /// Returns whether a switch is set (a flag without value, or an environment value of 1 or true).
    auto flag(std::string_view name) const -> bool;

    /// Returns a comma-separated list; empty if the setting is absent.
    auto list(std::string_view name) const -> std::vector<std::string>;

    /// Returns the words of the command line that are no options (docopt commands and arguments).
    auto argument(std::string_view name) const -> std::optional<std::string>;

private:
    std::map<std::string, std::string> values_;
    std::map<std::string, std::string> arguments_;
};

/// Prints `program: text` as one line to standard error and exits with status 2.
[[noreturn]] auto exitWithUsageError(std::string_view program, std::string_view text) -> void;

/// Returns the value or ends the program with the error's text and status 2. For use in main only.
template <typename T> auto require(std::string_view program, Result<T> result) -> T
{
    if (!isOk(result)) {
        exitWithUsageError(program, errorOf(result).text_);
    }
    return valueOf(std::move(result));
}

/// A TCP address as `ip:port`.
struct Address {
    std::string ip_;
    std::uint16_t port_ = 0;

    // clang-tidy 14 takes the 0 of the generated comparison for a pointer.
    auto operator<=>(const Address&) const = default; // NOLINT(modernize-use-nullptr)
    auto text() const -> std::string
    {
        return ip_ + ":" + std::to_string(port_);
    }
};

/// Parses `a.b.c.d:port` with a port of 1 to 65535.
auto parseAddress(std::string_view text) -> Result<Address>;

} // namespace wagtailhead
