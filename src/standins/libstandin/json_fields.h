/// Reads checked fields of a JSON object that a test sends to a control interface of a stand-in.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/result.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhead::standin {

/// Reads fields one by one and keeps the first error. An absent field leaves its target unchanged, so
/// that a request changes only what it names. Not thread safe.
class JsonFields {
public:
    /// Parses `text`; anything but a JSON object is an error.
    explicit JsonFields(std::string_view text);

    auto readFlag(const char* name, bool& target) -> void;
    auto readInteger(const char* name, std::int64_t& target, std::int64_t low, std::int64_t high) -> void;
    auto readNumber(const char* name, double& target, double low, double high) -> void;
    /// As readNumber; JSON null clears the target.
    auto readOptionalNumber(const char* name, std::optional<double>& target, double low, double high) -> void;
    auto readMilliseconds(const char* name, milliseconds& target, milliseconds high) -> void;
    auto readText(const char* name, std::string& target) -> void;
    /// Reads a text that must be one of `allowed`.
    auto readChoice(const char* name, std::string& target, const std::vector<std::string>& allowed) -> void;

    /// Returns whether the object has this field.
    auto has(const char* name) const -> bool;

    /// Returns the first error: a malformed field, or a field that nobody read. Call it last.
    auto error() const -> std::optional<Error>;

private:
    auto field(const char* name) -> const nlohmann::json*;
    auto fail(const char* name, const std::string& allowed) -> void;

    nlohmann::json object_;
    std::set<std::string> known_;
    std::optional<Error> error_;
};

} // namespace wagtailhead::standin
