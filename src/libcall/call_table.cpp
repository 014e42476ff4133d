#include "wagtailhead/call_table.h"

#include <array>
#include <charconv>

namespace wagtailhead {

auto parseContextToken(std::string_view text) -> std::optional<ContextToken>
{
    constexpr std::size_t digits = 16;
    ContextToken token = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, token, 16);
    if (text.size() != digits || result.ec != std::errc() || result.ptr != end) {
        return std::nullopt;
    }
    return token;
}

auto subCallRefusalName(SubCallRefusal refusal) -> const char*
{
    static constexpr std::array names { "unknown-context", "cancelled", "too-deep", "deadline",
        "retry-allowance" };
    return names.at(static_cast<std::size_t>(refusal));
}

CallTable::CallTable(std::uint64_t seed)
    : random_(seed)
{
}

auto CallTable::hashOf(const SubCallKey& key) -> std::uint64_t
{
    return stableHash(key.path_, stableHash(key.method_, key.bodyHash_));
}

auto CallTable::refusalOf(const Entry& entry, bool repeat, TimePoint now) -> std::optional<SubCallRefusal>
{
    const auto& context = entry.call_.context_;
    if (entry.call_.cancelled_) {
        return SubCallRefusal::Cancelled;
    }
    if (context.depth_ >= maxCallDepth) {
        return SubCallRefusal::TooDeep;
    }
    if (context.deadline_ <= now) {
        return SubCallRefusal::DeadlinePassed;
    }
    if (repeat && !entry.call_.allowance_->charge()) {
        return SubCallRefusal::NoAllowance;
    }
    return std::nullopt;
}

auto CallTable::open(const CallContext& context) -> ContextToken
{
    const std::lock_guard lock(mutex_);
    ContextToken token = random_();
    while (token == 0 || calls_.contains(token)) {
        token = random_();
    }
    auto& entry = calls_[token];
    entry.call_.context_ = context;
    entry.call_.allowance_ = std::make_shared<RetryAllowance>(context.retryAllowance_);
    return token;
}

auto CallTable::find(ContextToken token) const -> std::optional<RunningCall>
{
    const std::lock_guard lock(mutex_);
    const auto found = calls_.find(token);
    return found == calls_.end() ? std::nullopt : std::optional(found->second.call_);
}

auto CallTable::beginSubCall(ContextToken token, const SubCallKey& key, TimePoint now) -> SubCallResult
{
    const std::lock_guard lock(mutex_);
    const auto found = calls_.find(token);
    if (found == calls_.end()) {
        return SubCallRefusal::UnknownToken;
    }
    auto& entry = found->second;
    const auto hash = hashOf(key);
    const bool repeat = entry.seen_.contains(hash);
    if (const auto refusal = refusalOf(entry, repeat, now)) {
        return *refusal;
    }
    entry.seen_.insert(hash);
    if (entry.running_.empty()) {
        entry.waitingSince_ = now;
    }
    SubCallGrant grant;
    grant.id_ = ++lastSubCall_;
    entry.running_.insert(grant.id_);
    grant.context_ = entry.call_.context_;
    grant.context_.retryAllowance_ = 0;
    grant.context_.idempotencyKey_.clear();
    grant.context_.depth_ += 1;
    grant.context_.invested_ += 1 + entry.ended_;
    grant.allowance_ = entry.call_.allowance_;
    grant.repeat_ = repeat;
    return grant;
}

auto CallTable::endSubCall(ContextToken token, SubCallId id, const SubtreeLevel& reported, TimePoint now)
    -> void
{
    const std::lock_guard lock(mutex_);
    const auto found = calls_.find(token);
    if (found == calls_.end() || found->second.running_.erase(id) == 0) {
        return;
    }
    auto& entry = found->second;
    ++entry.ended_;
    if (entry.running_.empty()) {
        entry.subCallTime_ += now - entry.waitingSince_;
    }
    if (isStricter(reported.level_, entry.strictest_.level_)) {
        entry.strictest_ = reported;
    }
}

auto CallTable::cancel(ContextToken token) -> std::vector<SubCallId>
{
    const std::lock_guard lock(mutex_);
    const auto found = calls_.find(token);
    if (found == calls_.end()) {
        return {};
    }
    found->second.call_.cancelled_ = true;
    const auto& running = found->second.running_;
    return { running.begin(), running.end() };
}

auto CallTable::close(ContextToken token, TimePoint now) -> CallSummary
{
    const std::lock_guard lock(mutex_);
    const auto found = calls_.find(token);
    if (found == calls_.end()) {
        return {};
    }
    auto& entry = found->second;
    CallSummary summary;
    summary.unusedRetries_ = entry.call_.allowance_->drain();
    summary.subCallTime_ = entry.subCallTime_;
    if (!entry.running_.empty()) {
        summary.subCallTime_ += now - entry.waitingSince_;
    }
    summary.running_.assign(entry.running_.begin(), entry.running_.end());
    summary.strictest_ = entry.strictest_;
    calls_.erase(found);
    return summary;
}

auto CallTable::size() const -> std::size_t
{
    const std::lock_guard lock(mutex_);
    return calls_.size();
}

} // namespace wagtailhead
