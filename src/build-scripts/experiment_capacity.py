"""The capacity of a mesh for a mix of requests, computed from its call graph and sizes."""
import json
import math
import os

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# Kind of request: (service, method, path, weight in the default mix). As in src/libload/request_kind.cpp.
KINDS = {
    "perlu": {"orders": ("pasutijumi", "POST", "/orders", 10), "stock-reads": ("krajums", "GET", "/stock", 25),
              "catalogue-reads": ("katalogs", "GET", "/items", 40), "lookups": ("katalogs", "GET", "/prices", 15),
              "downloads": ("faili", "GET", "/lists", 10)},
    "lindqvist": {"bookings": ("dispatch", "POST", "/bookings", 10),
                  "unit-histories": ("history-desk", "GET", "/units", 35),
                  "diagrams": ("diagrams", "GET", "/sheets", 25),
                  "parts-orders": ("library", "POST", "/parts-orders", 10),
                  "manuals": ("library", "GET", "/manuals", 20)},
}
CRITICAL = {"perlu": ("orders",), "lindqvist": ("bookings", "parts-orders")}


def sub_calls(service, method, path):
    """Returns the sub-calls (service, method, path) of an operation, by the longest matching row."""
    rows, calls = {}, None
    for item in filter(None, service.calls.split(",")):
        if "=" in item:
            key, _, item = item.partition("=")
            calls = rows.setdefault(tuple(key.split(":", 1)), [])
        if item:
            called_method, called, called_path = item.split(":", 2)
            calls.append((called, called_method, called_path))
    matching = [key for key in rows if key[0] == method
                and (path == key[1] or path.startswith(key[1].rstrip("/") + "/"))]
    return rows[max(matching, key=lambda key: len(key[1]))] if matching else []


class Capacity:
    """Slot time that requests take at each service of a plan, without any waiting."""

    def __init__(self, plan, mix=None):
        self.services = {vm.service.name: vm.service for vm in plan.vms}
        self.slots = {name: sum(vm.service.slots for vm in plan.vms if vm.service.name == name)
                      for name in self.services}
        self.mean_factor = math.exp((plan.options.spread_percent / 100) ** 2 / 2)  # Mean over median.
        kinds = KINDS[plan.deployment.name]
        weights = {name: (mix.get(name, 0) if mix else row[3]) for name, row in kinds.items()}
        self.shares = {name: weight / sum(weights.values()) for name, weight in weights.items()}
        self.kinds = kinds

    def _visit(self, service, method, path, times):
        """Adds the slot time of one call and its sub-calls by service, and returns its length in seconds."""
        length = self.services[service].service_time_ms / 1000 * self.mean_factor
        for call in sub_calls(self.services[service], method, path):
            length += self._visit(*call, times)
        times[service] = times.get(service, 0) + length
        return length

    def slot_seconds(self, kind):
        """Returns the slot time of one request of a kind by service."""
        times = {}
        self._visit(*self.kinds[kind][:3], times)
        return times

    def demand(self, kinds=None):
        """Returns the slot time by service of one average request, of the whole mix or of some kinds of it."""
        total = {}
        for kind, share in self.shares.items():
            if kinds is None or kind in kinds:
                for service, seconds in self.slot_seconds(kind).items():
                    total[service] = total.get(service, 0) + share * seconds
        return total

    def bottleneck(self):
        """Returns (service, whole requests per second of the mix) at which the first service is saturated."""
        rates = {service: self.slots[service] / seconds for service, seconds in self.demand().items() if seconds > 0}
        service = min(rates, key=rates.get)
        return service, rates[service]

    def critical_share(self, deployment):
        """Returns the share of the bottleneck that orders take at 100 % load."""
        service, rate = self.bottleneck()
        return rate * self.demand(CRITICAL[deployment]).get(service, 0) / self.slots[service]


def mix_of(load, deployment):
    """Returns the mix of a scenario's load part, or None for the default mix."""
    return load.get("mix", {}).get(deployment)


if __name__ == "__main__":
    print(json.dumps(KINDS, indent=1))
