#include "node_control.h"

#include "mesh_status.h"

#include <nlohmann/json.hpp>

namespace wagtailhead {

namespace {

/// Operators wait for these calls, and an answer that comes late spares them a repeat.
constexpr Duration storeTimeout = seconds(2);
/// Below the time in which a zone's report is made.
constexpr Duration probeTimeout = milliseconds(900);
/// Any object does; this one is small and nearly always there.
constexpr auto probedKey = "config/retries";
constexpr int statusServerError = 500;

} // namespace

NodeControl::NodeControl(NodeControlParts parts, std::uint64_t seed)
    : parts_(parts)
    , client_(parts_.storeHttp_, { parts_.settings_.store_, storeTimeout })
    , store_(client_)
    , collector_({ parts_.context_, parts_.members_, parts_.settings_.self_, parts_.settings_.zone_,
          [this] {
              return ownReport();
          },
          [this](const Member& member, bool wholeZone, Duration timeout,
              std::function<void(std::optional<ZoneReport>)> callback) {
              ask(member, wholeZone, timeout, std::move(callback));
          },
          [this](std::function<void(bool)> callback) {
              probeStore(std::move(callback));
          } })
    , intents_({ store_, parts_.items_, parts_.config_, parts_.members_,
                   [this] {
                       return shardHolders();
                   },
                   [this](StatusCollector::MeshCallback callback) {
                       collector_.collectMesh(std::move(callback));
                   } },
          seed)
    , api_({ intents_, parts_.config_,
               [this](const std::function<void(const nlohmann::json&)>& callback) {
                   status(callback);
               } },
          parts_.settings_.operatorTeams_)
{
}

auto NodeControl::handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) -> void
{
    api_.handle(request, responder);
}

auto NodeControl::onRequest(const SummaryRequest& request, PeerTransport::ReplyFunction reply) -> void
{
    collector_.onRequest(request, [reply = std::move(reply)](SummaryReply answer) {
        reply(std::move(answer));
    });
}

auto NodeControl::ownReport() const -> ZoneReport
{
    NodeFigures figures;
    figures.node_ = parts_.settings_.self_.id_;
    figures.service_ = parts_.settings_.service_;
    figures.admission_ = parts_.executor_.stats();
    figures.overload_ = overloadCounts().totals(Clock::now());
    figures.generations_ = parts_.config_.current()->generations_;
    figures.silentConnections_ = parts_.transport_.stats().connectionsSilent_;
    return reportOf(figures);
}

auto NodeControl::shardHolders() const -> std::vector<ShardHolders>
{
    std::vector<ShardHolders> holders;
    for (const auto& record : parts_.shards_.list()) {
        std::vector<NodeRef> members { record.owner_ };
        members.insert(members.end(), record.witnesses_.begin(), record.witnesses_.end());
        holders.push_back({ record.service_, record.shard_, std::move(members) });
    }
    return holders;
}

auto NodeControl::ask(const Member& member, bool wholeZone, Duration timeout,
    std::function<void(std::optional<ZoneReport>)> callback) -> void
{
    const PeerTarget target { member.ref_, member.zone_, member.peer_ };
    parts_.transport_.request(target, PeerChannel::Normal, SummaryRequest { 0, wholeZone }, timeout,
        [callback = std::move(callback)](const std::variant<Message, PeerFailure>& result) {
            const auto* message = std::get_if<Message>(&result);
            const auto* reply = message ? std::get_if<SummaryReply>(message) : nullptr;
            auto report = reply ? parseReport(reply->text_) : Result<ZoneReport>(Error {});
            callback(isOk(report) ? std::optional(valueOf(std::move(report))) : std::nullopt);
        });
}

auto NodeControl::probeStore(std::function<void(bool)> callback) -> void
{
    parts_.storeHttp_.send(parts_.settings_.store_,
        { "GET", std::string("/v1/objects/") + probedKey, {}, {} }, probeTimeout,
        [callback = std::move(callback)](const HttpResult& result) {
            const auto* response = std::get_if<HttpResponse>(&result);
            callback(response && response->status_ < statusServerError);
        });
}

auto NodeControl::status(const std::function<void(const nlohmann::json&)>& callback) -> void
{
    collector_.collectMesh([this, callback](const MeshReport& report) {
        const auto members = parts_.members_.snapshot();
        const auto shards = shardHolders();
        callback(meshStatus(
            { parts_.settings_.self_, parts_.settings_.zone_, report, *members, shards, Clock::now() }));
    });
}

} // namespace wagtailhead
