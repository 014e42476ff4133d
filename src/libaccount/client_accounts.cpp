#include "wagtailhead/client_accounts.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <xxhash.h>

namespace wagtailhead {

namespace {

/// Longest name or key; header fields are limited to some kilobytes.
constexpr std::size_t longestText = 1024;

/// Returns whether a text consists of visible ASCII characters, so that it is the same before and after it
/// has been a header field's value.
auto isHeaderValue(std::string_view text) -> bool
{
    return !text.empty() && text.size() <= longestText
        && std::all_of(text.begin(), text.end(), [](char character) {
               return character > ' ' && character <= '~';
           });
}

auto isRate(double value) -> bool
{
    return std::isfinite(value) && value >= 0;
}

auto invalid(const ClientAccount& account, const std::string& what) -> Error
{
    return { ErrorCode::InvalidArgument, "account '" + account.name_ + "': " + what };
}

} // namespace

auto AccountTable::TextHash::operator()(std::string_view text) const -> std::size_t
{
    return XXH3_64bits(text.data(), text.size());
}

auto AccountTable::build(std::vector<ClientAccount> accounts) -> Result<AccountTable>
{
    AccountTable table;
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        const auto& account = accounts[i];
        if (!isHeaderValue(account.name_)) {
            return invalid(account, "the name is empty, too long or not visible ASCII");
        }
        if (!table.byName_.emplace(account.name_, i).second) {
            return invalid(account, "the name occurs twice");
        }
        if (!isRate(account.ratePerSecond_) || !isRate(account.burst_)) {
            return invalid(account,
                fmt::format("rate {} and burst {} must be finite and not negative", account.ratePerSecond_,
                    account.burst_));
        }
        for (const auto& key : account.keys_) {
            if (!isHeaderValue(key)) {
                return invalid(account, "a key is empty, too long or not visible ASCII");
            }
            const auto [entry, added] = table.byKey_.emplace(key, i);
            if (!added && entry->second != i) {
                return invalid(
                    account, "a key belongs to account '" + accounts[entry->second].name_ + "' too");
            }
        }
    }
    table.accounts_ = std::move(accounts);
    return table;
}

auto AccountTable::findByKey(std::string_view key) const -> const ClientAccount*
{
    const auto found = byKey_.find(key);
    return found == byKey_.end() ? nullptr : &accounts_[found->second];
}

auto AccountTable::findByName(std::string_view name) const -> const ClientAccount*
{
    const auto found = byName_.find(name);
    return found == byName_.end() ? nullptr : &accounts_[found->second];
}

auto keyFingerprint(std::string_view key, std::uint64_t salt) -> std::string
{
    return fmt::format("{:08x}", XXH3_64bits_withSeed(key.data(), key.size(), salt) & 0xffffffffU);
}

} // namespace wagtailhead
