/// The asking side of quotas: decides on each request of a limited account.
#pragma once

#include "quota_custodian.h"

#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace wagtailhead {

enum class QuotaDecision : std::uint8_t {
    Admitted,
    Denied, ///< The account has used its quota.
    Unavailable, ///< No custodian answered in time.
};

struct QuotaResult {
    QuotaDecision decision_ = QuotaDecision::Admitted;
    Duration retryAfter_ {}; ///< Unless admitted: after what time to come back; spread.
    TimePoint tokenExpires_; ///< If admitted: until when the token may be given back.
};

/// A question to a custodian.
struct QuotaAsk {
    std::uint64_t id_ = 0;
    std::string custodian_;
    std::string account_;
    int wanted_ = 0;
};

enum class QuotaSend : std::uint8_t {
    Sent,
    Unreachable, ///< There is no path to the custodian; it has not been asked.
};

struct QuotaClientStats {
    std::uint64_t admitted_ = 0;
    std::uint64_t denied_ = 0;
    std::uint64_t unavailable_ = 0;
    std::uint64_t asks_ = 0;
    std::uint64_t silent_ = 0; ///< Asks without an answer in time.
    std::uint64_t expired_ = 0; ///< Granted tokens that were not used in time.
};

/// Takes tokens from the custodians of an account and spends them on requests. Near custodians are asked
/// first, the next one when one denies or is silent. While all deny, further requests are denied without
/// asking. State exists only for accounts with recent requests. Times are bootNow() times. Not thread safe.
class QuotaClient {
public:
    using RequestId = std::uint64_t;
    using Callback = std::function<void(QuotaResult)>;
    /// Sends a question; its answer goes to onGrant(), also within this call.
    using Sender = std::function<QuotaSend(const QuotaAsk&)>;

    /// `self` is the place of this node.
    QuotaClient(QuotaOptions options, QuotaNode self, Sender sender);

    /// Takes a change of the configuration or of the membership. The members must outlive this object.
    auto update(const QuotaMembers& members) -> void;

    /// Decides on one request of a limited account, at the latest at `latest`. The callback runs once unless
    /// the request is cancelled, possibly before this returns. Returns an id for cancel(), or 0 if the
    /// callback has run.
    auto acquire(const ClientAccount& account, TimePoint latest, TimePoint now, Callback callback)
        -> RequestId;

    /// Drops a request that waits for a decision. Its callback does not run.
    auto cancel(const std::string& account, RequestId id) -> void;

    /// Returns the token of an admitted request that has certainly not run. It may be used again until it
    /// expires.
    auto giveBack(const std::string& account, TimePoint tokenExpires, TimePoint now) -> void;

    /// Takes the answer to a question. An answer to one that is not awaited any more is ignored.
    auto onGrant(std::uint64_t askId, const QuotaGrant& grant, TimePoint now) -> void;

    /// A custodian can be reached, perhaps again: it is asked at once.
    auto onReachable(const std::string& custodian) -> void;

    /// The path to a custodian is lost: its awaited answers do not come.
    auto onLost(const std::string& custodian, TimePoint now) -> void;

    /// Gives up silent custodians and late requests. Call it about every 50 ms.
    auto tick(TimePoint now) -> void;

    auto stats() const -> const QuotaClientStats&
    {
        return stats_;
    }
    auto activeAccounts() const -> std::size_t
    {
        return accounts_.size();
    }

private:
    struct Tokens {
        int count_ = 0;
        TimePoint expires_;
    };
    struct Waiting {
        RequestId id_ = 0;
        TimePoint latest_;
        Callback callback_;
    };
    struct Custodian {
        std::string name_;
        bool near_ = false; ///< In the region of this node.
    };
    struct Silence {
        TimePoint until_; ///< The custodian is not asked before.
        Duration pause_ {};
    };
    struct Asked {
        std::uint64_t id_ = 0;
        std::size_t place_ = 0; ///< In the order of this round.
        Custodian custodian_;
        int wanted_ = 0;
        TimePoint sent_;
    };
    struct Account {
        std::vector<Custodian> custodians_; ///< In the order in which they are asked.
        bool outdated_ = true; ///< The configuration or the membership has changed.
        bool rotates_ = false; ///< Each round begins at a custodian drawn at random.
        std::size_t first_ = 0; ///< Place in custodians_ at which the round begins.
        double floorRate_ = 0;
        double floorTokens_ = 0;
        TimePoint floorFilled_;
        std::deque<Tokens> tokens_; ///< The ones that expire first are in front.
        std::deque<Waiting> waiting_;
        std::optional<Asked> asked_;
        std::optional<Duration> shortestRetryAfter_; ///< Of the custodians that denied in this round.
        TimePoint deniedUntil_;
        QuotaResult denial_;
        double demand_ = 0; ///< Requests in the recent past, fading.
        TimePoint demandUpdated_;
        TimePoint lastUse_;
    };

    auto stateOf(const ClientAccount& account, TimePoint now) -> Account&;
    /// Spends a token and returns when it would have expired, or returns nothing.
    auto takeToken(Account& account, TimePoint now) -> std::optional<TimePoint>;
    auto wantedOf(const Account& account) const -> int;
    auto startRound(const std::string& name, Account& account, TimePoint now) -> void;
    auto askFrom(const std::string& name, Account& account, std::size_t first, TimePoint now) -> void;
    auto endRound(Account& account, TimePoint now) -> void;
    auto serveWaiting(Account& account, TimePoint now) -> void;
    auto dropLate(Account& account, TimePoint now) -> void;
    auto answerAll(Account& account, QuotaResult result) -> void;
    auto spread(QuotaResult result) -> QuotaResult;
    auto finish(const Callback& callback, QuotaResult result) -> void;
    auto isSilent(const std::string& custodian, TimePoint now) const -> bool;

    QuotaOptions options_;
    QuotaNode self_;
    Sender sender_;
    const QuotaMembers* members_ = nullptr;
    std::unordered_map<std::string, Account> accounts_;
    std::unordered_map<std::uint64_t, std::string> asks_; ///< Account of each awaited answer.
    std::unordered_map<std::string, Silence> silences_; ///< By custodian that did not answer last time.
    std::uint64_t lastId_ = 0;
    std::mt19937_64 random_;
    QuotaClientStats stats_;
};

} // namespace wagtailhead
