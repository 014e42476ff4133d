/// Outcome values: every operation that can fail returns a Result instead of throwing.
#pragma once

#include <string>
#include <utility>
#include <variant>

namespace wagtailhead {

/// Tells callers what they can do about an error.
enum class ErrorCode {
    InvalidArgument, ///< The input itself is wrong; repeating it cannot help.
    NotFound, ///< The named object does not exist.
    Conflict, ///< A conditional update lost against a concurrent one.
    Unavailable, ///< The other side cannot be reached or refuses for now.
    Timeout, ///< No answer in time; the effect of the request is not known.
    Denied, ///< The credentials do not allow the operation.
    Internal, ///< An unexpected failure of a library or of the platform.
};

/// Returns the stable lower-case name of a code, for logs and JSON answers.
auto errorCodeName(ErrorCode code) -> const char*;

/// A failure with a text that names the object, the value and what was expected.
struct Error {
    ErrorCode code_ = ErrorCode::Internal;
    std::string text_;
};

/// Stands for success of an operation that returns nothing else.
using Done = std::monostate;

/// Either a value or an Error.
template <typename T> using Result = std::variant<T, Error>;

template <typename T> auto isOk(const Result<T>& result) -> bool
{
    return result.index() == 0;
}

/// Returns the value. Precondition: isOk(result).
template <typename T> auto valueOf(Result<T>& result) -> T&
{
    return std::get<0>(result);
}

template <typename T> auto valueOf(const Result<T>& result) -> const T&
{
    return std::get<0>(result);
}

template <typename T> auto valueOf(Result<T>&& result) -> T
{
    return std::get<0>(std::move(result));
}

/// Returns the error. Precondition: !isOk(result).
template <typename T> auto errorOf(const Result<T>& result) -> const Error&
{
    return std::get<Error>(result);
}

} // namespace wagtailhead
