/// Client of the platform's object API (the store): objects with versions, conditional updates, watches.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/http.h"
#include "wagtailhead/result.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wagtailhead {

/// A version of the store. It grows with each write to the whole store; 0 stands for "nothing yet".
using StoreVersion = std::uint64_t;

struct StoreObject {
    std::string key_;
    StoreVersion version_ = 0;
    std::string value_; ///< JSON text.

    auto operator==(const StoreObject&) const -> bool = default;
};

/// The answer to a list or watch call.
struct StoreListing {
    StoreVersion version_ = 0; ///< Of the whole store when the answer was made.
    std::vector<StoreObject> objects_;
    std::vector<std::string> deleted_;

    auto operator==(const StoreListing&) const -> bool = default;
};

/// How a call failed. The codes mean:
/// - Conflict: the condition did not hold; nothing was written. `current_` is the object as it is, or
///   nothing if there is none.
/// - NotFound: there is no such object.
/// - Unavailable: the store cannot be reached or refuses for now; nothing was written.
/// - Timeout: no whole answer came; a write may or may not have taken effect, also later.
/// - InvalidArgument, Denied: the request itself was refused; nothing was written.
struct StoreFailure {
    Error error_;
    std::optional<StoreObject> current_;
};

template <typename T> using StoreResult = std::variant<T, StoreFailure>;

template <typename T> auto isOk(const StoreResult<T>& result) -> bool
{
    return result.index() == 0;
}

/// One call, as state machines ask for it.
struct StoreCommand {
    enum class Verb : std::uint8_t {
        Get,
        List,
        Create,
        Replace,
        Remove,
        Watch,
    };

    Verb verb_ = Verb::Get;
    std::string key_; ///< List: the prefix.
    std::vector<std::string> prefixes_; ///< Watch.
    StoreVersion version_ = 0; ///< Replace, Remove: the expected version. Watch: `since`.
    std::string value_; ///< Create, Replace: JSON text.
    Duration wait_ {}; ///< Watch: how long the store waits for a change.
};

/// Get gives the object, List and Watch a listing, the writes the new version (0 for Remove).
using StoreAnswer = std::variant<StoreObject, StoreListing, StoreVersion, StoreFailure>;

struct StoreClientOptions {
    Address address_;
    /// For one call, without the waiting time of a watch.
    Duration timeout_ = seconds(2);
};

struct StoreCallCounts {
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t watches_ = 0;
    std::uint64_t unavailable_ = 0;
    std::uint64_t timeouts_ = 0;
    std::uint64_t conflicts_ = 0;
};

/// Makes calls to the store. Thread safe. Callbacks run once, in a thread of the HTTP client's context.
/// No call is repeated by the client. Values are JSON texts of at most 1 MB.
class StoreClient {
public:
    template <typename T> using Callback = std::function<void(StoreResult<T>)>;

    /// The HTTP client must outlive the store client and all calls.
    StoreClient(HttpClient& http, StoreClientOptions options);
    ~StoreClient();
    StoreClient(const StoreClient&) = delete;
    auto operator=(const StoreClient&) -> StoreClient& = delete;

    auto get(const std::string& key, Callback<StoreObject> callback) -> void;
    auto list(const std::string& prefix, Callback<StoreListing> callback) -> void;
    /// Writes the object if there is none. Gives the new version.
    auto create(const std::string& key, std::string value, Callback<StoreVersion> callback) -> void;
    /// Writes the object if `expected` is its version. Gives the new version.
    auto replace(const std::string& key, StoreVersion expected, std::string value,
        Callback<StoreVersion> callback) -> void;
    auto remove(const std::string& key, StoreVersion expected, Callback<Done> callback) -> void;
    /// Waits up to `wait` until something under `prefixes` is newer than `since`; gives the changes.
    auto watch(const std::vector<std::string>& prefixes, StoreVersion since, Duration wait,
        Callback<StoreListing> callback) -> void;

    /// Makes the call that a command describes.
    auto run(const StoreCommand& command, std::function<void(StoreAnswer)> callback) -> void;

    auto counts() const -> StoreCallCounts;

private:
    class State;
    std::shared_ptr<State> state_;
};

/// Returns whether a key consists of `/`-separated, non-empty parts of `[A-Za-z0-9._-]`.
auto isStoreKey(std::string_view key) -> bool;

} // namespace wagtailhead
