/// Client accounts: who may send requests, with which keys, at which rank and rate.
///
/// A configuration holds one AccountTable. The entry looks up the key of each request, passes the account's
/// name to the backend server and never the key.
#pragma once

#include "wagtailhead/result.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wagtailhead {

/// One account as the configuration states it.
struct ClientAccount {
    std::string name_; ///< Unique; sent to backend servers.
    std::vector<std::string> keys_; ///< Each belongs to one account only.
    std::optional<int> rank_ {}; ///< Goes before the rank of a route; 0 is the most important.
    double ratePerSecond_ = 0; ///< Requests per second over all nodes; 0 if there is no limit.
    double burst_ = 0; ///< Requests beyond the rate, over all nodes.

    auto isLimited() const -> bool
    {
        return ratePerSecond_ > 0;
    }
};

/// The accounts of one configuration, found by key. Immutable, so that any thread may read it.
class AccountTable {
public:
    /// No accounts: requests need no key.
    AccountTable() = default;

    /// Builds the table. Returns an error that names the account if a name or a key is empty or not valid as
    /// the value of a header field, if a name or a key occurs twice, or if a rate or a burst is negative or
    /// not finite. No error contains a key.
    static auto build(std::vector<ClientAccount> accounts) -> Result<AccountTable>;

    /// Returns the account that holds the key, or null. The time does not depend on the number of accounts.
    /// The result lives as long as the table.
    auto findByKey(std::string_view key) const -> const ClientAccount*;

    /// Returns the account with this name, or null. The result lives as long as the table.
    auto findByName(std::string_view name) const -> const ClientAccount*;

    auto accounts() const -> const std::vector<ClientAccount>&
    {
        return accounts_;
    }
    auto isEmpty() const -> bool
    {
        return accounts_.empty();
    }

private:
    /// Lets lookups take a string_view without a copy.
    struct TextHash {
        using is_transparent = void;
        auto operator()(std::string_view text) const -> std::size_t;
    };
    using Index = std::unordered_map<std::string, std::size_t, TextHash, std::equal_to<>>;

    std::vector<ClientAccount> accounts_;
    Index byKey_;
    Index byName_;
};

/// Returns a short hash of a key by which an operator can tell two keys apart in a log. The salt is drawn at
/// the start of the process, so that the hash cannot be compared with that of a guessed key elsewhere.
auto keyFingerprint(std::string_view key, std::uint64_t salt) -> std::string;

} // namespace wagtailhead
