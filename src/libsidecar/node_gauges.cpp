#include "node_gauges.h"

#include "wagtailhead/metrics.h"

namespace wagtailhead {

namespace {

struct GaugeText {
    const char* name_;
    const char* help_;
};

auto set(const GaugeText& text, double value, const MetricLabels& labels = {}) -> void
{
    gauge(text.name_, text.help_, labels).Set(value);
}

auto publishGate(const NodeGauges& now) -> void
{
    set({ "wagtailhead_gate_running", "Requests at the backend server." }, now.load_.running_);
    set({ "wagtailhead_gate_queued", "Requests that wait for the backend server." }, now.load_.queued_);
    set({ "wagtailhead_gate_limit", "Most requests at the backend server." }, now.load_.limit_);
    set({ "wagtailhead_shed_level", "Ranks refused by callers' nodes, the least important first." },
        now.load_.level_);
    set({ "wagtailhead_called_shed_level", "The same for the services that the backend server calls." },
        now.load_.called_.level_);
    set({ "wagtailhead_backend_rejected", "Requests rejected by the backend server since the start." },
        static_cast<double>(now.gate_.rejectedByBackend_));
    set({ "wagtailhead_backend_malformed", "Answers rejected since the start." },
        static_cast<double>(now.gate_.malformed_));
    set({ "wagtailhead_backend_connections", "Connections to the backend server." },
        static_cast<double>(now.connections_.open_), { { "state", "open" } });
    set({ "wagtailhead_backend_connections", "Connections to the backend server." },
        static_cast<double>(now.connections_.idle_), { { "state", "idle" } });
    set({ "wagtailhead_backend_connections_opened",
            "Connections opened to the backend server since the start." },
        static_cast<double>(now.connections_.opened_));
}

auto publishStore(const ObjectStoreStats& store) -> void
{
    const GaugeText calls { "wagtailhead_store_calls", "Calls to the store since the start." };
    set(calls, static_cast<double>(store.reads_), { { "kind", "read" } });
    set(calls, static_cast<double>(store.watches_), { { "kind", "watch" } });
    set(calls, static_cast<double>(store.checks_), { { "kind", "check" } });
    set(calls, static_cast<double>(store.staleChecks_), { { "kind", "stale_check" } });
    set(calls, static_cast<double>(store.writes_), { { "kind", "write" } });
    set({ "wagtailhead_store_failures", "Calls to the store that failed since the start." },
        static_cast<double>(store.failures_));
}

auto publishChecks(const KindCheckStats& checks) -> void
{
    const GaugeText text { "wagtailhead_store_checks",
        "Checks of the waiting watch of the configuration since the start." };
    set(text, static_cast<double>(checks.unchanged_), { { "result", "unchanged" } });
    set(text, static_cast<double>(checks.newer_), { { "result", "newer" } });
    set(text, static_cast<double>(checks.failed_), { { "result", "failed" } });
}

} // namespace

auto publishGauges(const NodeGauges& now) -> void
{
    publishGate(now);
    publishStore(now.store_);
    set({ "wagtailhead_shed", "Requests refused for the load of a service since the start." },
        static_cast<double>(now.callers_.shed_));
    set({ "wagtailhead_retries", "Repeats at another backend server since the start." },
        static_cast<double>(now.callers_.retries_));
    set({ "wagtailhead_caller_connections", "Open connections of callers." },
        static_cast<double>(now.callerConnections_));
    set({ "wagtailhead_caller_unwritten_bytes", "Size of the responses that callers have not read yet." },
        static_cast<double>(now.unwrittenBytes_));
    set({ "wagtailhead_caller_request_bytes", "Memory of requests that are being read or run." },
        static_cast<double>(now.callerBounds_.smallMessageBytes_), { { "size", "small" } });
    set({ "wagtailhead_caller_request_bytes", "Memory of requests that are being read or run." },
        static_cast<double>(now.callerBounds_.largeMessageBytes_), { { "size", "large" } });
    set({ "wagtailhead_caller_request_bytes", "Memory of requests that are being read or run." },
        static_cast<double>(now.callerBounds_.readAheadBytes_), { { "size", "ahead" } });
    set({ "wagtailhead_caller_refused_for_memory", "Requests refused while they were read since the start." },
        static_cast<double>(now.callerBounds_.refusedForMemory_));
    set({ "wagtailhead_caller_closed_for_room",
            "Connections without a request closed for others since the start." },
        static_cast<double>(now.callerBounds_.closedForRoom_));
    set({ "wagtailhead_over_quota", "Requests refused above the quota of their account since the start." },
        static_cast<double>(now.callers_.overQuota_));
    set({ "wagtailhead_quota_unavailable", "Requests refused without a custodian in reach since the start." },
        static_cast<double>(now.callers_.quotaUnavailable_));
    set({ "wagtailhead_no_account", "Requests whose key belongs to no account since the start." },
        static_cast<double>(now.callers_.noAccount_));
    set({ "wagtailhead_links_lost", "Links to other nodes that broke since the start." },
        static_cast<double>(now.links_.lost_));
    set({ "wagtailhead_config_version", "Version of the configuration in force." },
        static_cast<double>(now.configVersion_));
    set({ "wagtailhead_config_age_seconds", "Time since that version was adopted." },
        std::chrono::duration<double>(now.configAge_).count());
    set({ "wagtailhead_known_nodes", "Nodes in the directory." }, static_cast<double>(now.nodes_));
    set({ "wagtailhead_store_watching", "1 if this node watches the store for its zone." },
        now.watching_ ? 1 : 0);
    set({ "wagtailhead_store_read_age_seconds",
            "Time since which a newer configuration would not be known." },
        std::chrono::duration<double>(now.storeReadAge_).count());
    publishChecks(now.storeChecks_);
    set({ "wagtailhead_ready", "1 if this node takes new callers." }, now.ready_ ? 1 : 0);
}

} // namespace wagtailhead
