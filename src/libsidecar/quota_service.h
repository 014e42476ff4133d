/// Quotas of client accounts in one process: membership, custodian and client, and the frames between nodes.
#pragma once

#include "link_client.h"
#include "quota_client.h"
#include "wagtailhead/directory.h"
#include "wagtailhead/site_configuration.h"

#include <functional>
#include <memory>

namespace wagtailhead {

struct QuotaServiceOptions {
    QuotaNode self_;
    std::uint64_t seed_ = 0;
    QuotaTerms terms_ {};
};

/// Keeps the quotas of the configuration in force. Does nothing while no account has a rate. All members run
/// in the single thread of the asio context.
class QuotaService {
public:
    /// The directory and the links must outlive this object.
    QuotaService(QuotaServiceOptions options, Directory& directory, LinkClient& links);

    /// Takes the accounts of a configuration. `joining` is true if this node was not a member of the site
    /// before its process started. Call it when the configuration or the membership may have changed; it is
    /// cheap if not.
    auto refresh(const SiteConfigurationPtr& configuration, bool joining) -> void;

    /// Decides on a request of a limited account; see QuotaClient::acquire().
    auto acquire(const ClientAccount& account, TimePoint latest, QuotaClient::Callback callback)
        -> QuotaClient::RequestId;
    auto cancel(const std::string& account, QuotaClient::RequestId id) -> void;
    auto giveBack(const std::string& account, TimePoint tokenExpires) -> void;

    /// Answers another node.
    auto onAsk(const QuotaAskFrame& frame) -> QuotaGrantFrame;
    auto onGrant(const std::string& node, const QuotaGrantFrame& frame) -> void;

    /// A link to a node is open, or is lost.
    auto onLinkOpen(const std::string& node) -> void;
    auto onLinkLost(const std::string& node) -> void;

    /// Call it about every 50 ms.
    auto tick() -> void;

    auto clientStats() const -> const QuotaClientStats&
    {
        return client_.stats();
    }
    auto custodian() const -> const QuotaCustodian&
    {
        return custodian_;
    }

private:
    auto send(const QuotaAsk& ask) -> QuotaSend;

    QuotaServiceOptions options_;
    Directory& directory_;
    LinkClient& links_;
    QuotaMembers members_;
    QuotaCustodian custodian_;
    QuotaClient client_;
    SiteConfigurationPtr configuration_;
    std::uint64_t membersDigest_ = 0;
};

} // namespace wagtailhead
