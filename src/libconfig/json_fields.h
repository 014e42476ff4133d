/// Checked access to the fields of a JSON object. Internal to the library.
#pragma once

#include "wagtailhead/result.h"

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhead {

/// Reads the fields of one object and collects the first error. Fields that are never asked for are
/// reported by `finish`, so that misspelt names are found.
class JsonFields {
public:
    /// `path` names the object in errors, for instance "classes.rules[2]".
    JsonFields(const nlohmann::json& object, std::string path);

    auto has(const char* name) -> bool;
    /// Reads a text of 1 to 200 characters; `fallback` applies when the field is absent.
    auto text(const char* name) -> std::string;
    auto text(const char* name, std::string_view fallback) -> std::string;
    auto integer(const char* name, std::int64_t low, std::int64_t high) -> std::int64_t;
    auto integer(const char* name, std::int64_t fallback, std::int64_t low, std::int64_t high)
        -> std::int64_t;
    auto boolean(const char* name, bool fallback) -> bool;
    auto texts(const char* name) -> std::vector<std::string>;
    /// Calls `read` for each element of an array with its path; an error that it returns is kept.
    auto each(const char* name,
        const std::function<Result<Done>(const nlohmann::json&, const std::string&)>& read) -> void;
    /// Marks a field as known without reading it.
    auto ignore(const char* name) -> void;

    /// Adds an error about a field, if there is none yet.
    auto fail(const std::string& field, const std::string& value, const std::string& allowed) -> void;

    /// Returns the first error, or one about an unknown field, or success.
    auto finish() -> Result<Done>;

private:
    auto find(const char* name) -> const nlohmann::json*;

    const nlohmann::json& object_;
    std::string path_;
    std::vector<std::string> known_;
    std::string error_;
};

/// Parses a text as a JSON object; `name` names it in errors.
auto parseJsonObject(std::string_view text, const std::string& name) -> Result<nlohmann::json>;

} // namespace wagtailhead
