"""The stand-in of the store, with an address for each machine, so that it can be silent towards some of them."""
import asyncio
import json
from urllib.parse import parse_qs, urlsplit

from http_codec import HttpError, read_request, response_bytes, serve
from store_standin import StoreStandin


class SilentStore(StoreStandin):
    """Answers nothing to the machines in `silent`. A channel on which a response was lost returns nothing further."""

    def __init__(self):
        super().__init__()
        self.silent = set()
        self.watching = {}  # Name of a machine to the number of its waiting watches of the configuration.
        self.fronts = []

    async def start_fronts(self, machines):
        """Gives each machine an address of its own for the store."""
        for machine in machines:
            address = f"{machine.site.prefix}.0.1:{machine.site.base + 10 + len(self.fronts)}"
            machine.store = address
            self.fronts.append(await serve(address, self.front(machine.name)))

    def close(self):
        """Stops listening."""
        super().close()
        for each in self.fronts:
            each.close()

    def front(self, name):
        """Returns the handler of the connections of one machine."""
        async def connection(reader, writer):
            try:
                while (request := await read_request(reader)) is not None:
                    status, body = await self.answer_to(name, request)
                    if name in self.silent:
                        await asyncio.sleep(3600)  # The response is lost, and so is the channel.
                    writer.write(response_bytes(status, {"Content-Type": "application/json"},
                                                json.dumps(body).encode()))
                    await writer.drain()
            except (HttpError, ConnectionError):
                pass
            finally:
                writer.close()
        return connection

    async def answer_to(self, name, request):
        """Returns the status and the body of an answer."""
        parts = urlsplit(request.target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if request.method != "GET":
            return self.apply(request, parts.path, query)
        if "watch" in query and parts.path.endswith("/config"):
            self.watching[name] = self.watching.get(name, 0) + 1
            try:
                return await self.read_or_watch(parts.path, query)
            finally:
                self.watching[name] -= 1
        return await self.read_or_watch(parts.path, query)
