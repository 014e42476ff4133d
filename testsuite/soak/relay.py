"""A TCP relay in front of one address that delays, resets, cuts or silences what passes."""
import asyncio

from http_codec import HEADER_LIMIT, abort, serve, split_address


class Relay:
    """Passes connections on to `target` until it is told otherwise."""

    def __init__(self, target):
        self.target = target
        self.delay_s = 0.0
        self.refuses = False  # New connections are reset.
        self.silent = False  # New and open connections carry nothing more.
        self.one_way = False  # Only answers are held back.
        self.pairs = set()
        self.dead = set()  # Connections that carry nothing for good, as behind a device that forgot them.
        self.passed = 0  # Bytes, both ways.
        self.server = None

    async def start(self, address):
        """Listens at an address."""
        self.server = await serve(address, self.connection)

    def close(self):
        """Stops listening and resets what is open."""
        self.server.close()
        self.reset(1.0, None)

    def reset(self, share, random):
        """Resets a share of the open connections."""
        for pair in list(self.pairs):
            if random is None or random.random() < share:
                for writer in pair:
                    abort(writer)

    def silence_open(self):
        """Open connections carry nothing more, new ones work. Returns the connections."""
        silenced = set(self.pairs)
        self.dead.update(silenced)
        return silenced

    def resume(self, pairs):
        """What was held up on these connections goes on its way."""
        self.dead.difference_update(pairs)

    async def connection(self, reader, writer):
        """Passes one connection on."""
        if self.refuses:
            abort(writer)
            return
        try:
            out_reader, out_writer = await asyncio.open_connection(*split_address(self.target), limit=HEADER_LIMIT)
        except OSError:
            abort(writer)
            return
        pair = (writer, out_writer)
        self.pairs.add(pair)
        forward = asyncio.ensure_future(self.pump(reader, out_writer, pair, False))
        back = asyncio.ensure_future(self.pump(out_reader, writer, pair, True))
        try:
            await asyncio.wait({forward, back})
        finally:
            self.pairs.discard(pair)
            self.dead.discard(pair)  # Nobody else knows the pair any more.

    async def pump(self, reader, writer, pair, answers):
        """Passes bytes on in one direction."""
        try:
            while data := await reader.read(HEADER_LIMIT):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while (self.silent and (answers or not self.one_way)) or pair in self.dead:
                    await asyncio.sleep(0.05)
                self.passed += len(data)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (ConnectionError, RuntimeError, OSError):
            for each in pair:
                abort(each)
