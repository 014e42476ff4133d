#include "quota_client.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <xxhash.h>

namespace wagtailhead {

namespace {

/// A round trip over a link that has to be opened first, within a region and between regions.
constexpr Duration nearTimeout = milliseconds(75);
constexpr Duration farTimeout = milliseconds(250);
/// A custodian that did not answer is left out for the shortest time, which doubles up to the longest.
constexpr Duration shortestSilence = seconds(1);
constexpr Duration longestSilence = seconds(8);
/// Bounds of the time in which requests are denied without asking again.
constexpr Duration shortestDenial = milliseconds(50);
constexpr Duration longestDenial = milliseconds(250);
/// How long no custodian is asked after none could be reached.
constexpr Duration unavailablePause = milliseconds(100);
/// When a caller may come back after no custodian answered.
constexpr Duration unavailableRetryAfter = milliseconds(500);
/// The demand is counted with this time constant.
constexpr double demandSeconds = 1.0;
/// Share of the expected demand that is asked for ahead. The rest is asked for when it comes, so that few
/// tokens expire.
constexpr double askedAhead = 0.5;
/// With fewer tokens at each custodian all of them are drained alike: where the near ones go first, the far
/// ones are full and collect nothing.
constexpr double smallDepth = 4;
/// An account without requests for this time is forgotten.
constexpr Duration idleTime = seconds(10);
/// Denied callers come back between the stated time and this many times it.
constexpr double latestReturn = 1.5;

auto distance(const QuotaNode& from, const QuotaNode& to) -> int
{
    if (from.region_ != to.region_) {
        return 2;
    }
    return from.zone_ == to.zone_ ? 0 : 1;
}

} // namespace

QuotaClient::QuotaClient(QuotaOptions options, QuotaNode self, Sender sender)
    : options_(std::move(options))
    , self_(std::move(self))
    , sender_(std::move(sender))
    , random_(options_.seed_)
{
}

auto QuotaClient::update(const QuotaMembers& members) -> void
{
    members_ = &members;
    for (auto& [name, account] : accounts_) {
        account.outdated_ = true;
        account.deniedUntil_ = {};
    }
}

auto QuotaClient::stateOf(const ClientAccount& account, TimePoint now) -> Account&
{
    auto& state = accounts_[account.name_];
    if (state.outdated_ && members_ != nullptr && members_->nodeCount() > 0) {
        state.outdated_ = false;
        state.custodians_.clear();
        const auto shares
            = quotaShares(account, members_->nodeCount(), members_->regionCount(), options_.terms_);
        auto nodes = members_->custodiansOf(account.name_, shares.custodians_);
        const auto order = [&](const QuotaNode* node) {
            return std::pair(distance(self_, *node),
                XXH3_64bits_withSeed(node->name_.data(), node->name_.size(),
                    XXH3_64bits(self_.name_.data(), self_.name_.size())));
        };
        std::sort(nodes.begin(), nodes.end(), [&](const QuotaNode* a, const QuotaNode* b) {
            return order(a) < order(b);
        });
        for (const auto* node : nodes) {
            state.custodians_.push_back({ node->name_, node->region_ == self_.region_ });
        }
        state.rotates_ = shares.custodianDepth_ < smallDepth;
        state.floorRate_ = shares.floorRate_;
        state.floorTokens_ = std::min(state.floorTokens_, shares.floorRate_ > 0 ? 1.0 : 0.0);
        state.floorFilled_ = now;
    }
    state.lastUse_ = now;
    return state;
}

auto QuotaClient::takeToken(Account& account, TimePoint now) -> std::optional<TimePoint>
{
    auto& tokens = account.tokens_;
    while (!tokens.empty() && tokens.front().expires_ <= now) {
        stats_.expired_ += static_cast<std::uint64_t>(tokens.front().count_);
        tokens.pop_front();
    }
    if (!tokens.empty()) {
        const auto expires = tokens.front().expires_;
        if (--tokens.front().count_ == 0) {
            tokens.pop_front();
        }
        return expires;
    }
    const std::chrono::duration<double> passed = now - account.floorFilled_;
    account.floorFilled_ = now;
    account.floorTokens_ = std::min(account.floorTokens_ + passed.count() * account.floorRate_, 1.0);
    if (account.floorTokens_ >= 1) {
        account.floorTokens_ -= 1;
        return now;
    }
    return std::nullopt;
}

auto QuotaClient::wantedOf(const Account& account) const -> int
{
    const std::chrono::duration<double> lifetime = options_.terms_.grantLifetime_;
    const double expected = account.demand_ / demandSeconds * lifetime.count() * askedAhead;
    return static_cast<int>(account.waiting_.size()) + static_cast<int>(std::floor(expected));
}

auto QuotaClient::acquire(const ClientAccount& account, TimePoint latest, TimePoint now, Callback callback)
    -> RequestId
{
    auto& state = stateOf(account, now);
    const std::chrono::duration<double> passed = now - state.demandUpdated_;
    state.demand_ = state.demand_ * std::exp(-passed.count() / demandSeconds) + 1;
    state.demandUpdated_ = now;
    if (const auto expires = state.waiting_.empty() ? takeToken(state, now) : std::nullopt) {
        finish(callback, { QuotaDecision::Admitted, {}, *expires });
        return 0;
    }
    if (now < state.deniedUntil_) {
        finish(callback, spread(state.denial_));
        return 0;
    }
    const auto id = ++lastId_;
    state.waiting_.push_back({ id, latest, std::move(callback) });
    if (!state.asked_) {
        startRound(account.name_, state, now);
    }
    const bool waits = std::any_of(state.waiting_.begin(), state.waiting_.end(), [&](const Waiting& one) {
        return one.id_ == id;
    });
    return waits ? id : 0;
}

auto QuotaClient::isSilent(const std::string& custodian, TimePoint now) const -> bool
{
    const auto found = silences_.find(custodian);
    return found != silences_.end() && now < found->second.until_;
}

auto QuotaClient::startRound(const std::string& name, Account& account, TimePoint now) -> void
{
    account.shortestRetryAfter_.reset();
    account.first_ = account.rotates_ ? std::uniform_int_distribution<std::size_t>(
                         0, std::max<std::size_t>(account.custodians_.size(), 1) - 1)(random_)
                                      : 0;
    askFrom(name, account, 0, now);
}

auto QuotaClient::askFrom(const std::string& name, Account& account, std::size_t first, TimePoint now) -> void
{
    for (std::size_t place = first; place < account.custodians_.size(); ++place) {
        const auto& custodian = account.custodians_[(account.first_ + place) % account.custodians_.size()];
        if (isSilent(custodian.name_, now)) {
            continue;
        }
        const QuotaAsk ask { ++lastId_, custodian.name_, name, wantedOf(account) };
        account.asked_ = Asked { ask.id_, place, custodian, ask.wanted_, now };
        asks_[ask.id_] = name;
        ++stats_.asks_;
        if (sender_(ask) == QuotaSend::Sent) {
            return;
        }
        asks_.erase(ask.id_);
        account.asked_.reset();
    }
    endRound(account, now);
}

auto QuotaClient::endRound(Account& account, TimePoint now) -> void
{
    account.asked_.reset();
    serveWaiting(account, now);
    if (account.shortestRetryAfter_) {
        account.denial_ = { QuotaDecision::Denied, *account.shortestRetryAfter_, {} };
        account.deniedUntil_ = now + std::clamp(*account.shortestRetryAfter_, shortestDenial, longestDenial);
    } else {
        account.denial_ = { QuotaDecision::Unavailable, unavailableRetryAfter, {} };
        account.deniedUntil_ = now + unavailablePause;
    }
    account.shortestRetryAfter_.reset();
    answerAll(account, account.denial_);
}

auto QuotaClient::answerAll(Account& account, QuotaResult result) -> void
{
    for (auto& waiting : std::exchange(account.waiting_, {})) {
        finish(waiting.callback_, spread(result));
    }
}

auto QuotaClient::spread(QuotaResult result) -> QuotaResult
{
    const double factor = std::uniform_real_distribution<>(1, latestReturn)(random_);
    result.retryAfter_ = std::chrono::duration_cast<Duration>(
        std::max<Duration>(result.retryAfter_, shortestDenial) * factor);
    return result;
}

auto QuotaClient::finish(const Callback& callback, QuotaResult result) -> void
{
    switch (result.decision_) {
    case QuotaDecision::Admitted:
        ++stats_.admitted_;
        break;
    case QuotaDecision::Denied:
        ++stats_.denied_;
        break;
    case QuotaDecision::Unavailable:
        ++stats_.unavailable_;
        break;
    }
    callback(result);
}

auto QuotaClient::serveWaiting(Account& account, TimePoint now) -> void
{
    std::vector<std::pair<Callback, TimePoint>> served;
    while (!account.waiting_.empty()) {
        const auto expires = takeToken(account, now);
        if (!expires) {
            break;
        }
        served.emplace_back(std::move(account.waiting_.front().callback_), *expires);
        account.waiting_.pop_front();
    }
    for (const auto& [callback, expires] : served) {
        finish(callback, { QuotaDecision::Admitted, {}, expires });
    }
}

auto QuotaClient::onGrant(std::uint64_t askId, const QuotaGrant& grant, TimePoint now) -> void
{
    const auto name = asks_.find(askId);
    if (name == asks_.end()) {
        return;
    }
    const auto accountName = name->second;
    asks_.erase(name);
    const auto found = accounts_.find(accountName);
    if (found == accounts_.end() || !found->second.asked_ || found->second.asked_->id_ != askId) {
        return;
    }
    auto& account = found->second;
    const auto asked = *std::exchange(account.asked_, std::nullopt);
    silences_.erase(asked.custodian_.name_);
    const int tokens = std::clamp(grant.tokens_, 0, asked.wanted_);
    const auto expires = asked.sent_ + options_.terms_.grantLifetime_;
    if (tokens > 0 && now < expires) {
        account.tokens_.push_back({ tokens, expires });
    }
    serveWaiting(account, now);
    if (account.waiting_.empty() || account.asked_) {
        return;
    }
    if (tokens == asked.wanted_) {
        // These requests came after the question.
        startRound(accountName, account, now);
        return;
    }
    // A node that does not take itself for a custodian states no time.
    if (grant.retryAfter_ > Duration::zero()) {
        const auto& shortest = account.shortestRetryAfter_;
        account.shortestRetryAfter_ = shortest ? std::min(*shortest, grant.retryAfter_) : grant.retryAfter_;
    }
    askFrom(accountName, account, asked.place_ + 1, now);
}

auto QuotaClient::cancel(const std::string& account, RequestId id) -> void
{
    const auto found = accounts_.find(account);
    if (found != accounts_.end()) {
        std::erase_if(found->second.waiting_, [id](const Waiting& waiting) {
            return waiting.id_ == id;
        });
    }
}

auto QuotaClient::giveBack(const std::string& account, TimePoint tokenExpires, TimePoint now) -> void
{
    const auto found = accounts_.find(account);
    if (found == accounts_.end() || tokenExpires <= now) {
        return;
    }
    auto& tokens = found->second.tokens_;
    const auto place = std::find_if(tokens.begin(), tokens.end(), [&](const Tokens& one) {
        return one.expires_ > tokenExpires;
    });
    tokens.insert(place, { 1, tokenExpires });
}

auto QuotaClient::onReachable(const std::string& custodian) -> void
{
    silences_.erase(custodian);
}

auto QuotaClient::onLost(const std::string& custodian, TimePoint now) -> void
{
    std::vector<std::string> waiting;
    for (const auto& [name, account] : accounts_) {
        if (account.asked_ && account.asked_->custodian_.name_ == custodian) {
            waiting.push_back(name);
        }
    }
    for (const auto& name : waiting) {
        auto& account = accounts_.at(name);
        const auto asked = *std::exchange(account.asked_, std::nullopt);
        asks_.erase(asked.id_);
        askFrom(name, account, asked.place_ + 1, now);
    }
}

auto QuotaClient::tick(TimePoint now) -> void
{
    std::vector<std::string> due;
    for (const auto& [name, account] : accounts_) {
        if (!account.waiting_.empty() || account.asked_ || now - account.lastUse_ > idleTime) {
            due.push_back(name);
        }
    }
    for (const auto& name : due) {
        auto& account = accounts_.at(name);
        if (account.waiting_.empty() && !account.asked_) {
            accounts_.erase(name);
            continue;
        }
        const bool near = account.asked_ && account.asked_->custodian_.near_;
        if (account.asked_ && now - account.asked_->sent_ >= (near ? nearTimeout : farTimeout)) {
            const auto asked = *std::exchange(account.asked_, std::nullopt);
            asks_.erase(asked.id_);
            ++stats_.silent_;
            auto& silence = silences_[asked.custodian_.name_];
            silence.pause_ = std::clamp<Duration>(silence.pause_ * 2, shortestSilence, longestSilence);
            silence.until_ = now + silence.pause_;
            askFrom(name, account, asked.place_ + 1, now);
        }
        dropLate(account, now);
    }
    std::erase_if(silences_, [now](const auto& item) {
        return now - item.second.until_ > longestSilence;
    });
}

auto QuotaClient::dropLate(Account& account, TimePoint now) -> void
{
    std::vector<Callback> late;
    std::erase_if(account.waiting_, [&](Waiting& waiting) {
        if (waiting.latest_ > now) {
            return false;
        }
        late.push_back(std::move(waiting.callback_));
        return true;
    });
    for (const auto& callback : late) {
        finish(callback, spread({ QuotaDecision::Unavailable, unavailableRetryAfter, {} }));
    }
}

} // namespace wagtailhead
