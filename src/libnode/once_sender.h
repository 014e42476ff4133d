/// Sends operations that run at most once to the owner of their key. Internal to the library.
#pragma once

#include "call_sender.h"
#include "wagtailhead/shard_map.h"

#include <memory>

namespace wagtailhead {

struct OnceSenderParts {
    asio::io_context& context_;
    PeerTransport& transport_;
    MemberTable& members_;
    ConfigView& config_;
    ShardMap& shards_;
    CallExecutor& executor_;
    CallSender& sender_; ///< Gives out attempt numbers.
    NodeRef self_;
    /// Answers a fence that is addressed to this node itself.
    std::function<void(const Fence&, std::function<void(FenceReply)>)> fenceHere_;
};

/// Sends `once` calls. A lost attempt is sent again to the owner, whose ledger joins it to the first one;
/// "not run" is told only if the owner says so in time or a fence confirms it. Thread safe.
class OnceSender {
public:
    explicit OnceSender(OnceSenderParts parts);

    /// Sends a call. The callback runs once, never inside this function.
    auto send(OutgoingCall call, CallSender::Callback callback) -> std::shared_ptr<CallHandle>;

private:
    OnceSenderParts parts_;
};

/// Returns the regions and zones of the configuration as the ledger wants them.
auto topologyOf(const LinksConfig& links) -> Topology;

} // namespace wagtailhead
