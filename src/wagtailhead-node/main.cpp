#include "wagtailhead/log.h"
#include "wagtailhead/node.h"
#include "wagtailhead/node_settings.h"

namespace {

constexpr auto program = "wagtailhead-node";

constexpr auto usage = R"(The wagtailhead process in the slot of one backend server VM.

Usage:
  wagtailhead-node [options] [--zone-translate=LIST]... [--peers=LIST]...
  wagtailhead-node --help
  wagtailhead-node --version

Each option can be given as environment variable WAGTAILHEAD_<OPTION>, for instance
WAGTAILHEAD_NODE_ID; the option wins.

Identity options:
  --node-id=NAME          Name of this node, unique among all VMs.
  --zone=NAME             Availability zone.
  --region=NAME           Region of the zone.
  --service=NAME          Service of the backend server.

Address options: (a.b.c.d:port)
  --listen=ADDR           Callers and operators, HTTP.
  --subcall-listen=ADDR   Sub-calls of the backend server, HTTP.
  --peer-listen=ADDR      Calls between nodes.
  --gossip-listen=ADDR    Presence between nodes.
  --backend=ADDR          The backend server.
  --store=ADDR            The platform's object store.
  --peers=LIST            Gossip addresses for joining without the store, separated by commas.
  --zone-translate=LIST   ZONE=PREFIX/BITS entries for peers behind 1:1 NAT, separated by commas.

Backend server options:
  --slots=N               Calls that it runs at once, 1 to 100000.
  --connections=N         Connections that it accepts, 0 if not known.

Process options:
  --workers=N             Worker threads, 1 to 64 [1 if not set].
  --log-level=LEVEL       debug, info, warning or error [info if not set].
  --seed=N                Seed of all random choices; 0 or unset takes one from the system.
  --operator-tokens=LIST  team=token:service+service entries, separated by commas; better given as
                          environment variable.

Experiment options: (adaptive or naive, adaptive if not set)
  --admission=VERSION     Concurrency limit and queue.
  --shedding=VERSION      Shedding of root requests.
  --routing=VERSION       Choice of the backend server.
  --retries=VERSION       Retry policy.

Other options:
  -h --help               Show this text.
  --version               Show the version.
)";

} // namespace

auto main(int argc, char** argv) -> int
{
    using namespace wagtailhead;
    const auto settings = Settings::fromCommandLine(usage, argc, argv);
    initLog(program, require(program, parseLogLevel(settings.text("log-level", "info"))));
    auto node = Node::start(require(program, parseNodeSettings(settings)));
    if (!isOk(node)) {
        logEvent(LogLevel::Error, "start_failed", { { "error", errorOf(node).text_ } });
        return 1;
    }
    valueOf(node)->run();
    return 0;
}
