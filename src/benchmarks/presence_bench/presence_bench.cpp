/// Cost and speed of the membership protocol for groups of different sizes.
///
/// All nodes are instances of the protocol code in this one process, on a virtual clock and a virtual
/// network. The figures say nothing about sockets, threads or schedulers.
#include "presence_simulation.h"
#include "wagtailhead/settings.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <optional>
#include <sstream>

using namespace wagtailhead;

namespace {

constexpr const char* program = "presence_bench";
constexpr const char* usage = R"(presence_bench: the membership protocol on a virtual clock, in one process.

Usage:
  presence_bench [options]

Options:
  --nodes=<list>        Group sizes, comma-separated (10,30,100,200,1000,3800).
  --rest-seconds=<n>    Virtual seconds over which the cost at rest is measured (60).
  --items=<n>           Items that the nodes hold before the measurement (1600).
  --item-bytes=<n>      Size of the item whose spreading is measured (20000).
  --seed=<n>            Seed of all random choices (1).
  -h --help             Print this text.
  --version             Print the version.
)";

struct Zone {
    const char* name_;
    const char* region_;
};

/// Shaped like the design target: 5 regions with 12 zones. Small groups use the first two regions.
constexpr std::array zones { Zone { "riga-a", "riga" }, Zone { "kurzeme-a", "kurzeme" },
    Zone { "riga-b", "riga" }, Zone { "kurzeme-b", "kurzeme" }, Zone { "vantaa-a", "uusimaa" },
    Zone { "espoo-b", "uusimaa" }, Zone { "tampere-a", "pirkanmaa" }, Zone { "nokia-b", "pirkanmaa" },
    Zone { "tartu-a", "tartu" }, Zone { "tartu-b", "tartu" }, Zone { "tartu-c", "tartu" },
    Zone { "riga-c", "riga" } };
constexpr std::size_t smallGroup = 200;
constexpr std::size_t smallGroupZones = 4;

/// Estimated bytes of TCP/IP headers and nng framing for one request on a new connection: about ten
/// segments of 52 bytes and two handshakes and two headers of nng.
constexpr std::uint64_t connectionOverheadBytes = 570;

constexpr std::size_t seedCount = 3;
constexpr Duration joinSpacing = milliseconds(20);
constexpr Duration settleLimit = std::chrono::minutes(20);
constexpr Duration spreadLimit = seconds(120);
constexpr Duration spreadStep = milliseconds(5);

struct BenchOptions {
    int restSeconds_ = 60;
    int items_ = 1600;
    int itemBytes_ = 20000;
    std::uint64_t seed_ = 1;
};

struct Spread {
    Duration p50_ {};
    Duration p99_ {};
    Duration all_ {};
};

auto cpuSeconds() -> double
{
    std::timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

auto heapBytes() -> std::size_t
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

class Bench {
public:
    Bench(std::size_t nodes, BenchOptions options)
        : nodes_(nodes)
        , options_(options)
        , heapBefore_(heapBytes())
        , simulation_(simulationOptions(), options.seed_)
    {
    }

    auto run() -> void
    {
        const auto joinStart = simulation_.now();
        const auto cpuBefore = cpuSeconds();
        join();
        const auto joined = settle();
        const auto joinCpu = cpuSeconds() - cpuBefore;
        const auto joinSeconds = std::chrono::duration<double>(simulation_.now() - joinStart).count();
        const auto quiet = waitUntilQuiet();
        const auto memory
            = static_cast<double>(heapBytes() - heapBefore_) / static_cast<double>(nodes_) / 1e6;
        rest();
        const auto item = spread(
            [this](MembershipProtocol& protocol, TimePoint now) {
                protocol.publish(now,
                    { "config/classes", 1'000'000,
                        std::string(static_cast<std::size_t>(options_.itemBytes_), 'x') });
            },
            [](const MembershipProtocol& protocol) {
                const auto found = protocol.findItem("config/classes");
                return found && found->generation_ == 1'000'000;
            });
        const auto leaving = spread(
            [](MembershipProtocol& protocol, TimePoint now) {
                protocol.leave(now);
            },
            [id = simulation_.protocol(source()).self().ref_.id_](const MembershipProtocol& protocol) {
                const auto* member = protocol.findMember(id);
                return member && member->state_ == MemberState::Leaving;
            });
        std::printf("nodes=%zu joined=%s quiet=%s join_virtual_s=%.0f join_cpu_ms_per_node=%.1f "
                    "memory_mb_per_node=%.2f\n",
            nodes_, joined ? "yes" : "no", quiet ? "yes" : "no", joinSeconds,
            joinCpu * 1000 / static_cast<double>(nodes_), memory);
        std::printf(
            "nodes=%zu rest: messages_per_s=%.1f payload_bytes_per_s=%.0f with_tcp_estimate_bytes_per_s=%.0f "
            "cpu_percent_of_core=%.4f\n",
            nodes_, messagesPerSecond_, payloadPerSecond_, wirePerSecond_, cpuPercent_);
        std::printf("nodes=%zu item of %d bytes: p50_ms=%.0f p99_ms=%.0f all_ms=%.0f; leaving: p50_ms=%.0f "
                    "p99_ms=%.0f "
                    "all_ms=%.0f\n",
            nodes_, options_.itemBytes_, toMilliseconds(item.p50_), toMilliseconds(item.p99_),
            toMilliseconds(item.all_), toMilliseconds(leaving.p50_), toMilliseconds(leaving.p99_),
            toMilliseconds(leaving.all_));
        std::fflush(stdout);
    }

private:
    static auto simulationOptions() -> SimulationOptions
    {
        SimulationOptions options;
        options.roundTrip_ = true;
        return options;
    }

    auto source() const -> std::size_t
    {
        return nodes_ / 2;
    }

    auto join() -> void
    {
        std::vector<SeedAddress> peers;
        const auto zoneCount = nodes_ <= smallGroup ? smallGroupZones : zones.size();
        for (std::size_t i = 0; i < nodes_; ++i) {
            const auto& zone = zones.at(i % zoneCount);
            auto member = simulatedMember(i, zone.name_, zone.region_, "service-" + std::to_string(i % 190));
            if (peers.size() < seedCount) {
                peers.push_back({ member.gossip_, member.zone_ });
            }
            simulation_.add(std::move(member), peers);
            simulation_.runFor(joinSpacing);
        }
        for (int i = 0; i < options_.items_; ++i) {
            simulation_.with(
                static_cast<std::size_t>(i) % nodes_, [i](MembershipProtocol& protocol, TimePoint now) {
                    protocol.publish(
                        now, { "shards/orders/g/" + std::to_string(i), 1, std::string(200, 'r') });
                });
            simulation_.runFor(joinSpacing);
        }
    }

    /// Runs until all nodes know all nodes and items.
    auto settle() -> bool
    {
        const auto end = simulation_.now() + settleLimit;
        while (simulation_.now() < end) {
            simulation_.runFor(seconds(1));
            bool complete = true;
            for (std::size_t i = 0; i < nodes_ && complete; ++i) {
                complete = simulation_.protocol(i).liveCount() == nodes_
                    && simulation_.protocol(i).itemCount() >= static_cast<std::size_t>(options_.items_);
            }
            if (complete) {
                return true;
            }
        }
        return false;
    }

    /// Runs until no node has events left to spread, which is when rest begins.
    auto waitUntilQuiet() -> bool
    {
        const auto end = simulation_.now() + settleLimit;
        while (simulation_.now() < end) {
            simulation_.runFor(seconds(10));
            bool quiet = true;
            for (std::size_t i = 0; i < nodes_ && quiet; ++i) {
                quiet = simulation_.protocol(i).stats().queuedEvents_ == 0;
            }
            if (quiet) {
                return true;
            }
        }
        return false;
    }

    auto total() const -> SimulatedTraffic
    {
        SimulatedTraffic sum;
        for (std::size_t i = 0; i < nodes_; ++i) {
            const auto& traffic = simulation_.traffic(i);
            sum.messages_ += traffic.messages_;
            sum.requests_ += traffic.requests_;
            sum.bytesSent_ += traffic.bytesSent_;
            sum.bytesReceived_ += traffic.bytesReceived_;
        }
        return sum;
    }

    auto rest() -> void
    {
        const auto before = total();
        const auto cpuBefore = cpuSeconds();
        simulation_.runFor(seconds(options_.restSeconds_));
        const auto cpu = cpuSeconds() - cpuBefore;
        const auto after = total();
        const auto nodeSeconds = static_cast<double>(nodes_) * options_.restSeconds_;
        const auto payload = static_cast<double>(
            after.bytesSent_ - before.bytesSent_ + after.bytesReceived_ - before.bytesReceived_);
        const auto requests = static_cast<double>(after.requests_ - before.requests_);
        messagesPerSecond_ = static_cast<double>(after.messages_ - before.messages_) / nodeSeconds;
        payloadPerSecond_ = payload / nodeSeconds;
        wirePerSecond_ = (payload + requests * connectionOverheadBytes) / nodeSeconds;
        cpuPercent_ = cpu / nodeSeconds * 100;
    }

    auto spread(const std::function<void(MembershipProtocol&, TimePoint)>& change,
        const std::function<bool(const MembershipProtocol&)>& knows) -> Spread
    {
        const auto start = simulation_.now();
        std::vector<std::optional<Duration>> times(nodes_);
        std::size_t known = 0;
        simulation_.setObserver([&](std::size_t node) {
            if (!times[node] && knows(simulation_.protocol(node))) {
                times[node] = simulation_.now() - start;
                ++known;
            }
        });
        simulation_.with(source(), change);
        while (known < nodes_ && simulation_.now() - start < spreadLimit) {
            simulation_.runFor(spreadStep);
        }
        simulation_.setObserver({});
        std::vector<Duration> sorted;
        for (std::size_t i = 0; i < nodes_; ++i) {
            if (i != source()) {
                sorted.push_back(times[i].value_or(spreadLimit));
            }
        }
        std::sort(sorted.begin(), sorted.end());
        return { sorted[sorted.size() / 2], sorted[sorted.size() * 99 / 100], sorted.back() };
    }

    std::size_t nodes_;
    BenchOptions options_;
    std::size_t heapBefore_;
    PresenceSimulation simulation_;
    double messagesPerSecond_ = 0;
    double payloadPerSecond_ = 0;
    double wirePerSecond_ = 0;
    double cpuPercent_ = 0;
};

auto parseSizes(const std::string& text) -> Result<std::vector<std::size_t>>
{
    std::vector<std::size_t> sizes;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        const auto size = Settings::fromMap({ { "nodes", item } }).integer("nodes", 0, 2, 10000);
        if (!isOk(size)) {
            return errorOf(size);
        }
        sizes.push_back(static_cast<std::size_t>(valueOf(size)));
    }
    return sizes;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const auto settings = Settings::fromCommandLine(usage, argc, argv);
    BenchOptions options;
    options.restSeconds_ = static_cast<int>(require(program, settings.integer("rest-seconds", 60, 1, 3600)));
    options.items_ = static_cast<int>(require(program, settings.integer("items", 1600, 0, 100000)));
    options.itemBytes_
        = static_cast<int>(require(program, settings.integer("item-bytes", 20000, 1, 1 << 20)));
    options.seed_ = static_cast<std::uint64_t>(require(program, settings.integer("seed", 1, 0, INT64_MAX)));
    const auto sizes = require(program, parseSizes(settings.text("nodes", "10,30,100,200,1000,3800")));
    std::printf("# Protocol instances on a virtual clock in one process; not processes, sockets or threads.\n"
                "# Bytes count both directions at one node. CPU time includes codec and simulation.\n");
    for (const auto size : sizes) {
        Bench(size, options).run();
    }
    return 0;
}
