"""The two deployments of the design page: zones, services, call graphs and initial configuration."""
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Service:
    """A service and how its backend server stand-ins behave."""
    name: str
    servers: int
    slots: int
    connections: int
    service_time_ms: int  # Not given by the deployments; chosen so that one machine carries a surge.
    calls: str = ""  # Rows of the stand-in's --call setting.
    body_sizes: str = ""  # Rows of its --body-size setting.


@dataclass(frozen=True)
class Deployment:
    """Zones, services and request classes of a deployment."""
    name: str
    zones: dict  # Zone to region, in the order in which servers are spread.
    store_region: str
    services: tuple
    rules: tuple  # (service, method, path prefix, priority, once)
    probe_ms: int = 0
    retries: int = 2  # Own repeats of a failed sub-call by the backend servers' client library.
    regions: dict = field(init=False)  # Region to its zones.

    def __post_init__(self):
        regions = {}
        for zone, region in self.zones.items():
            regions.setdefault(region, []).append(zone)
        object.__setattr__(self, "regions", regions)


DOWNLOAD_BYTES = 200_000

PERLU = Deployment(
    name="perlu",
    zones={"riga-a": "riga", "riga-b": "riga", "kurzeme-a": "kurzeme", "kurzeme-b": "kurzeme"},
    store_region="riga",
    services=(
        # Prices are read by stock reads; without the exception they would read stock again.
        Service("katalogs", 5, 130, 870, 20, "GET:/=GET:krajums:/stock,GET:/prices="),
        Service("pasutijumi", 4, 160, 1060, 30, "POST:/orders=POST:krajums:/reservations,GET:katalogs:/items"),
        Service("faili", 4, 160, 1060, 40, "", f"GET:/={DOWNLOAD_BYTES}"),
        Service("krajums", 4, 20, 230, 50, "GET:/stock=GET:katalogs:/prices"),
    ),
    rules=(
        ("pasutijumi", "POST", "/orders", "critical", True),
        ("krajums", "POST", "/reservations", "critical", True),
        ("katalogs", "GET", "/", "interactive", False),
        ("krajums", "GET", "/", "interactive", False),
        ("faili", "GET", "/", "bulk", False),
    ),
)

LINDQVIST = Deployment(
    name="lindqvist",
    zones={"vantaa-a": "uusimaa", "espoo-b": "uusimaa", "tampere-a": "pirkanmaa", "nokia-b": "pirkanmaa"},
    store_region="uusimaa",
    services=(
        Service("history-desk", 6, 65, 490, 20, "GET:/=GET:diagrams:/x"),
        Service("dispatch", 4, 100, 680, 30, "POST:/bookings=GET:history-desk:/units,POST:library:/parts-orders"),
        Service("library", 4, 100, 680, 20, "", f"GET:/manuals={DOWNLOAD_BYTES}"),
        Service("diagrams", 4, 15, 200, 50, "GET:/=GET:library:/index"),
    ),
    rules=(
        ("dispatch", "POST", "/bookings", "critical", True),
        ("library", "POST", "/parts-orders", "critical", True),
        ("history-desk", "GET", "/", "interactive", False),
        ("diagrams", "GET", "/", "interactive", False),
        ("library", "GET", "/manuals", "bulk", False),
        ("library", "GET", "/", "internal", False),
    ),
    probe_ms=6,
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (PERLU, LINDQVIST)}

LINK_BYTES_PER_SECOND = 3_000_000  # The nodes' share of the 30 Mbit/s between regions.


def configuration(deployment):
    """Returns the initial configuration objects of the store by key."""
    rules = [{"service": service, "method": method, "path": path, "priority": priority, "once": once}
             for service, method, path, priority, once in deployment.rules]
    regions = [{"name": name, "zones": zones} for name, zones in deployment.regions.items()]
    return {
        "config/classes": {"generation": 1, "rules": rules, "default": "interactive"},
        "config/retries": {"generation": 1, "allowance": 3, "budget_percent": 10},
        "config/limits": {"generation": 1, "max_body_bytes": 1048576, "default_deadline_ms": 2000,
                          "max_deadline_ms": 60000, "max_queue": 200},
        "config/links": {"generation": 1, "regions": regions, "link_bytes_per_second": LINK_BYTES_PER_SECOND},
        "config/leaving": {"generation": 1, "nodes": []},
    }
