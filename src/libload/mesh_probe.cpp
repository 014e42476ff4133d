#include "mesh_probe.h"

#include "process_usage.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace wagtailhead::load {

namespace {

using Json = nlohmann::json;

/// Long enough for a busy machine; a frozen process does not answer at all.
constexpr auto fetchTimeout = seconds(5);

auto numberAt(const Json& object, const char* first, const char* second) -> double
{
    const auto part = object.find(first);
    if (part == object.end() || !part->is_object()) {
        return 0;
    }
    const auto value = part->find(second);
    return value != part->end() && value->is_number() ? value->get<double>() : 0;
}

auto parseObject(const std::string& text) -> Json
{
    auto parsed = Json::parse(text, nullptr, false);
    return parsed.is_object() ? parsed : Json::object();
}

auto addressesOf(const std::vector<MeshProcess>& processes) -> std::vector<Address>
{
    std::vector<Address> addresses;
    addresses.reserve(processes.size());
    for (const auto& process : processes) {
        addresses.push_back(process.http_);
    }
    return addresses;
}

auto readCounts(const Json& object, const std::vector<const char*>& names)
    -> std::map<std::string, std::int64_t>
{
    std::map<std::string, std::int64_t> counts;
    for (const auto* name : names) {
        counts[name] = object.value(name, std::int64_t { 0 });
    }
    return counts;
}

auto readRegionBytes(const Json& pairs) -> std::map<std::string, std::int64_t>
{
    std::map<std::string, std::int64_t> bytes;
    for (const auto& region : pairs.value("regions", Json::array())) {
        const auto from = region.value("from", "");
        const auto to = region.value("to", "");
        if (from != to) {
            auto name = from;
            name.append(">").append(to);
            bytes[name] = region.value("bytes", std::int64_t { 0 });
        }
    }
    return bytes;
}

} // namespace

MeshProbe::MeshProbe(asio::io_context& context, HttpClient& client, const MeshProcesses& mesh)
    : context_(context)
    , client_(client)
    , mesh_(mesh)
{
}

auto MeshProbe::fetch(const std::vector<Address>& addresses, const std::string& target)
    -> std::vector<std::string>
{
    std::vector<std::string> bodies(addresses.size());
    std::size_t open = addresses.size();
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        client_.send(addresses[i], { "GET", target, {}, "" }, fetchTimeout, [&, i](HttpResult result) {
            constexpr int statusOk = 200;
            if (auto* response = std::get_if<HttpResponse>(&result);
                response && response->status_ == statusOk) {
                bodies[i] = std::move(response->body_);
            }
            --open;
        });
    }
    context_.restart();
    while (open > 0 && context_.run_one() > 0) { }
    return bodies;
}

auto MeshProbe::fetch(const Address& address, const std::string& target) -> std::string
{
    return fetch(std::vector { address }, target).front();
}

auto MeshProbe::snapshot() -> MeshSnapshot
{
    MeshSnapshot snapshot;
    snapshot.at_ = Clock::now();
    const auto dumps = fetch(addressesOf(mesh_.nodes_), "/-/dump");
    for (std::size_t i = 0; i < dumps.size(); ++i) {
        const auto& node = mesh_.nodes_[i];
        const auto usage = readProcessUsage(node.pid_);
        if (!usage || dumps[i].empty()) {
            continue;
        }
        snapshot.allCpuSeconds_ += usage->cpuSeconds_;
        const auto dump = parseObject(dumps[i]);
        snapshot.nodes_.push_back({ node.pid_, node.node_, usage->cpuSeconds_, usage->memoryMb_,
            numberAt(dump, "presence", "bytesSent") + numberAt(dump, "presence", "bytesReceived") });
    }
    const auto backends = fetch(addressesOf(mesh_.backends_), "/-/dump");
    for (std::size_t i = 0; i < backends.size(); ++i) {
        const auto usage = readProcessUsage(mesh_.backends_[i].pid_);
        snapshot.allCpuSeconds_ += usage ? usage->cpuSeconds_ : 0;
        snapshot.slots_[mesh_.backends_[i].service_]
            += parseObject(backends[i]).value("slots", std::int64_t { 0 });
    }
    if (mesh_.store_) {
        snapshot.storeCalls_ = readCounts(
            parseObject(fetch(mesh_.store_->http_, "/-/calls")), { "reads", "writes", "watches" });
    }
    if (mesh_.link_) {
        snapshot.regionBytes_ = readRegionBytes(parseObject(fetch(mesh_.link_->http_, "/-/pairs")));
    }
    return snapshot;
}

auto MeshProbe::executions(std::vector<std::string>& missing) -> Executions
{
    Executions all;
    std::vector<Address> asked;
    std::vector<const MeshProcess*> askedProcesses;
    for (const auto& backend : mesh_.backends_) {
        std::ifstream file(backend.auditFile_);
        if (backend.auditFile_.empty() || !file) {
            asked.push_back(backend.http_);
            askedProcesses.push_back(&backend);
            continue;
        }
        std::ostringstream text;
        text << file.rdbuf();
        auto executions = parseAuditFile(backend.service_, text.str());
        all.insert(all.end(), executions.begin(), executions.end());
    }
    const auto texts = fetch(asked, "/audit");
    for (std::size_t i = 0; i < texts.size(); ++i) {
        auto executions = parseAudit(askedProcesses[i]->service_, texts[i]);
        if (!isOk(executions)) {
            missing.push_back("no audit of " + askedProcesses[i]->node_ + " at " + asked[i].text());
            continue;
        }
        all.insert(all.end(), valueOf(executions).begin(), valueOf(executions).end());
    }
    return all;
}

} // namespace wagtailhead::load
