"""Stand-in of the platform's metadata store, in the published form: objects by kind, lists with pages, watches."""
import asyncio
import copy
import json
from urllib.parse import parse_qs, urlsplit

from http_codec import HttpError, abort, read_request, response_bytes, serve
from record import now

PAGE = 500
LONGEST_WAIT_MS = 30000


class StoreStandin:
    """Keeps objects in memory and misbehaves as it is told."""

    def __init__(self, history=10000):
        self.objects = {}  # By (kind, name).
        self.events = []  # (revision, kind, object, deleted)
        self.writes = []  # (time, revision after it, (kind, name), object before it), newest last
        self.revision = 1
        self.oldest = 1  # Watches from an older revision get 410.
        self.history = history
        self.changed = asyncio.Event()
        self.calls = {"read": 0, "watch": 0, "write": 0}
        self.down = ""  # "", "busy", "reset", "silent" (calls are not answered) or "lapse" (nor are waiting watches)
        self.delay_s = 0.0
        self.lose_writes = 0.0  # Share of writes that are done and not answered.
        self.late_s = 0.0  # Lost writes are done so much later.
        self.refused_share = 0.0  # Share of calls that get 429.
        self.stale_s = 0.0  # Reads that may be stale return what was there so long ago.
        self.unanswered = set()  # Waiting watches that are never answered.
        self.waiting = set()
        self.random = None
        self.server = None

    async def start(self, address, random):
        """Listens at an address."""
        self.random = random
        self.server = await serve(address, self.connection)

    def close(self):
        """Stops listening."""
        self.server.close()

    def forget_history(self):
        """Watches have to start over."""
        self.oldest = self.revision + 1
        self.events.clear()
        self.wake()

    def forget_watches(self):
        """The watches that wait are never answered, and their connections stay open."""
        self.unanswered |= self.waiting

    def wake(self):
        """Lets waiting watches look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def connection(self, reader, writer):
        """Serves one connection."""
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.answer(request, writer):
                    abort(writer)
                    return
                await writer.drain()
        except (HttpError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, request, writer):
        """Answers a request. Returns whether the connection goes on."""
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        is_watch = "watch" in query
        self.calls["watch" if is_watch else "read" if request.method == "GET" else "write"] += 1
        if self.down in ("silent", "lapse"):
            await asyncio.sleep(3600)
        if self.down == "reset":
            return False
        if self.down == "busy" or self.random.random() < self.refused_share:
            writer.write(response_bytes(503 if self.down else 429, {}))
            return True
        await asyncio.sleep(self.delay_s)
        is_write = request.method != "GET"
        if is_write and self.random.random() < self.lose_writes:
            if self.late_s:
                asyncio.get_running_loop().call_later(self.late_s, self.apply, request, parts.path, query)
            else:
                self.apply(request, parts.path, query)
            return False
        status, body = await self.read_or_watch(parts.path, query) if not is_write else self.apply(
            request, parts.path, query)
        if self.down == "lapse":
            await asyncio.sleep(3600)  # The connection stays open and carries nothing further.
        writer.write(response_bytes(status, {"Content-Type": "application/json"}, json.dumps(body).encode()))
        return True

    async def read_or_watch(self, path, query):
        """Answers a GET."""
        words = path.split("/")[3:]
        if len(words) == 2:
            found = self.objects.get((words[0], words[1]))
            return (200, found) if found else (404, {})
        stale = bool(self.stale_s and query.get("allowStale"))
        revision, objects = self.past() if stale else (self.revision, self.objects)
        if "watch" in query:
            return await self.watch(words[0], int(query["watch"]), int(query.get("waitMs", 0)), revision if stale else None)
        names = sorted(name for kind, name in objects if kind == words[0] and name > query.get("after", ""))
        items = [objects[(words[0], name)] for name in names[:PAGE]]
        return 200, {"items": items, "hasMore": len(names) > PAGE, "at": revision}

    def past(self):
        """Returns the revision and the objects that stale reads see."""
        since, revision, objects = now() - self.stale_s, self.revision, dict(self.objects)
        for time, after, key, before in reversed(self.writes):
            if time <= since:
                break
            revision = after - 1
            if before:
                objects[key] = before
            else:
                objects.pop(key, None)
        return revision, objects

    async def watch(self, kind, since, wait_ms, until=None):
        """Waits for events of a kind. A stale read sees them up to the revision `until`."""
        loop = asyncio.get_running_loop()
        end = loop.time() + min(wait_ms, LONGEST_WAIT_MS) / 1000
        this = object()
        self.waiting.add(this)
        try:
            while True:
                if since + 1 < self.oldest:
                    return 410, {}
                last = self.revision if until is None else until
                events = [{"object": item, "deleted": deleted} for revision, of, item, deleted in self.events
                          if of == kind and since < revision <= last]
                if events or loop.time() >= end or until is not None:
                    return 200, {"events": events, "at": last}
                try:
                    await asyncio.wait_for(self.changed.wait(), end - loop.time())
                except asyncio.TimeoutError:
                    pass
                if this in self.unanswered:
                    await asyncio.sleep(3600)
        finally:
            self.waiting.discard(this)
            self.unanswered.discard(this)

    def apply(self, request, path, query):
        """Carries out a write. Returns status and body."""
        words = path.split("/")[3:]
        kind = words[0]
        body = json.loads(request.body) if request.body else {}
        metadata = body.get("metadata") or {}
        name = words[1] if len(words) > 1 else metadata.get("name", "")
        found = self.objects.get((kind, name))
        expected = metadata.get("revision", query.get("revision"))
        if request.method == "POST":
            return (409, found) if found else (200, self.put(kind, name, body.get("spec")))
        if not found:
            return 404, {}
        if expected is not None and int(expected) != found["metadata"]["revision"]:
            return 409, found
        if request.method == "DELETE":
            self.revision += 1
            self.writes.append((now(), self.revision, (kind, name), found))
            del self.objects[(kind, name)]
            self.record(kind, found, True)
            return 200, {}
        if found["spec"] == body.get("spec"):
            return 200, found
        return 200, self.put(kind, name, body.get("spec"))

    def put(self, kind, name, spec):
        """Writes an object, as the operator does without a condition."""
        self.revision += 1
        created = self.objects.get((kind, name), {}).get("metadata", {}).get("created", self.revision)
        item = {"metadata": {"name": name, "revision": self.revision, "created": created, "finalizers": [],
                             "beingDeleted": False}, "spec": copy.deepcopy(spec), "status": None}
        self.writes.append((now(), self.revision, (kind, name), self.objects.get((kind, name))))
        self.objects[(kind, name)] = item
        self.record(kind, item, False)
        return item

    def record(self, kind, item, deleted):
        """Remembers a change for watches."""
        self.events.append((self.revision, kind, item, deleted))
        if len(self.events) > self.history:
            self.oldest = self.events.pop(0)[0] + 1
        self.wake()
