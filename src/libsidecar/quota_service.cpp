#include "quota_service.h"

#include "wagtailhead/boot_clock.h"
#include "wagtailhead/log.h"

#include <algorithm>

namespace wagtailhead {

namespace {

auto hasLimits(const SiteConfiguration& configuration) -> bool
{
    const auto& accounts = configuration.accounts().accounts();
    return std::any_of(accounts.begin(), accounts.end(), [](const ClientAccount& account) {
        return account.isLimited();
    });
}

auto quotaOptions(const QuotaServiceOptions& options) -> QuotaOptions
{
    QuotaOptions made;
    made.node_ = options.self_.name_;
    made.seed_ = options.seed_;
    made.terms_ = options.terms_;
    return made;
}

} // namespace

QuotaService::QuotaService(QuotaServiceOptions options, Directory& directory, LinkClient& links)
    : options_(std::move(options))
    , directory_(directory)
    , links_(links)
    , custodian_(quotaOptions(options_))
    , client_(quotaOptions(options_), options_.self_, [this](const QuotaAsk& ask) {
        return send(ask);
    })
{
}

auto QuotaService::refresh(const SiteConfigurationPtr& configuration, bool joining) -> void
{
    if (!configuration || (!hasLimits(*configuration) && custodian_.heldAccounts() == 0)) {
        return;
    }
    const auto digest = directory_.digest();
    if (configuration == configuration_ && digest == membersDigest_) {
        return;
    }
    const bool sameConfiguration = configuration == configuration_;
    configuration_ = configuration;
    membersDigest_ = digest;
    std::vector<QuotaNode> nodes;
    for (const auto& entry : directory_.entries()) {
        if (entry.phase_ != BackendPhase::Gone) {
            nodes.push_back({ entry.node_, entry.zone_, entry.region_ });
        }
    }
    if (!members_.setNodes(std::move(nodes)) && sameConfiguration) {
        return;
    }
    custodian_.update(configuration_->accounts(), members_, joining, bootNow());
    client_.update(members_);
    logEvent(LogLevel::Info, "quotas_changed",
        { { "config", configuration_->version() }, { "nodes", members_.nodeCount() },
            { "held_accounts", custodian_.heldAccounts() } });
}

auto QuotaService::acquire(const ClientAccount& account, TimePoint latest, QuotaClient::Callback callback)
    -> QuotaClient::RequestId
{
    return client_.acquire(account, latest, bootNow(), std::move(callback));
}

auto QuotaService::cancel(const std::string& account, QuotaClient::RequestId id) -> void
{
    client_.cancel(account, id);
}

auto QuotaService::giveBack(const std::string& account, TimePoint tokenExpires) -> void
{
    client_.giveBack(account, tokenExpires, bootNow());
}

auto QuotaService::send(const QuotaAsk& ask) -> QuotaSend
{
    if (ask.custodian_ == options_.self_.name_) {
        client_.onGrant(ask.id_, custodian_.ask(ask.account_, ask.wanted_, bootNow()), bootNow());
        return QuotaSend::Sent;
    }
    const auto* entry = directory_.find(ask.custodian_);
    if (entry == nullptr || directory_.unreachableSince(ask.custodian_)) {
        return QuotaSend::Unreachable;
    }
    links_.sendFrame(*entry, QuotaAskFrame { ask.id_, ask.account_, ask.wanted_ });
    return QuotaSend::Sent;
}

auto QuotaService::onAsk(const QuotaAskFrame& frame) -> QuotaGrantFrame
{
    const auto grant = custodian_.ask(frame.account_, frame.wanted_, bootNow());
    return { frame.id_, grant.tokens_, grant.retryAfter_ };
}

auto QuotaService::onGrant(const std::string& node, const QuotaGrantFrame& frame) -> void
{
    // Also if the answer is too late for its question.
    client_.onReachable(node);
    client_.onGrant(frame.id_, { frame.tokens_, frame.retryAfter_ }, bootNow());
}

auto QuotaService::onLinkOpen(const std::string& node) -> void
{
    client_.onReachable(node);
}

auto QuotaService::onLinkLost(const std::string& node) -> void
{
    client_.onLost(node, bootNow());
}

auto QuotaService::tick() -> void
{
    client_.tick(bootNow());
}

} // namespace wagtailhead
