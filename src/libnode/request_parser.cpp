#include "request_parser.h"

#include "caller_answer.h"

#include <algorithm>
#include <charconv>

namespace wagtailhead {

namespace {

constexpr std::size_t maxKeyLength = 128;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusTooLarge = 413;

/// Headers that callers may not set for the backend server, because the node sets them.
constexpr std::array<std::string_view, 5> nodeHeaders { headers::idempotencyKey, headers::deadline,
    headers::context, headers::attempt, headers::requestClass };

auto equalsWithoutCase(std::string_view left, std::string_view right) -> bool
{
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) {
            return std::tolower(a) == std::tolower(b);
        });
}

auto withoutNodeHeaders(HttpHeaders all) -> HttpHeaders
{
    std::erase_if(all, [](const auto& header) {
        return std::any_of(nodeHeaders.begin(), nodeHeaders.end(), [&](std::string_view name) {
            return equalsWithoutCase(header.first, name);
        });
    });
    return removeHopHeaders(std::move(all));
}

/// Returns the deadline in force for a header value, or zero if the value is wrong.
auto parseDeadline(const std::optional<std::string>& text, const LimitsConfig& limits) -> Duration
{
    if (!text) {
        return limits.defaultDeadline_;
    }
    std::int64_t number = 0;
    const auto [end, code] = std::from_chars(text->data(), text->data() + text->size(), number);
    if (code != std::errc() || end != text->data() + text->size() || number < 1
        || milliseconds(number) > limits.maxDeadline_) {
        return Duration::zero();
    }
    return milliseconds(number);
}

/// Splits "/service/path?query" into service and "/path?query". Returns false if there is no service.
auto splitTarget(const std::string& target, std::string& service, std::string& rest) -> bool
{
    if (target.size() < 2 || target[0] != '/') {
        return false;
    }
    const auto end = target.find_first_of("/?", 1);
    service = target.substr(1, end == std::string::npos ? end : end - 1);
    rest = end == std::string::npos ? "/" : target.substr(end);
    if (rest[0] == '?') {
        rest = std::string("/").append(rest);
    }
    return !service.empty();
}

} // namespace

auto isValidKey(std::string_view key) -> bool
{
    return !key.empty() && key.size() <= maxKeyLength && std::all_of(key.begin(), key.end(), [](char c) {
        return c > ' ' && c <= '~';
    });
}

auto parseRequest(HttpRequest request, const ActiveConfig& config, bool keyRequired)
    -> std::variant<ParsedRequest, Answer>
{
    ParsedRequest parsed;
    std::string path;
    if (!splitTarget(request.target_, parsed.service_, path)) {
        return notRun("unknown-service", statusNotFound);
    }
    if (request.body_.size() > config.limits_.maxBodyBytes_) {
        return notRun("body-too-large", statusTooLarge);
    }
    parsed.deadline_ = parseDeadline(findHeader(request.headers_, headers::deadline), config.limits_);
    if (parsed.deadline_ == Duration::zero()) {
        return notRun("bad-deadline", statusBadRequest);
    }
    parsed.class_ = config.classify(parsed.service_, request.method_, path);
    if (const auto key = findHeader(request.headers_, headers::idempotencyKey)) {
        if (!isValidKey(*key)) {
            return notRun("bad-key", statusBadRequest);
        }
        parsed.key_ = *key;
    } else if (parsed.class_.once_ && keyRequired) {
        return notRun("key-required", statusBadRequest);
    }
    parsed.http_ = { std::move(request.method_), std::move(path),
        withoutNodeHeaders(std::move(request.headers_)), std::move(request.body_) };
    return parsed;
}

} // namespace wagtailhead
