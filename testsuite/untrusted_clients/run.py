#!/usr/bin/env python3
"""Crowds of clients that nobody controls, against one node with lowered limits: it lives, stays within its memory and its
descriptors, and answers ordinary requests. One test after another. `run.py NAME...` plays only the named tests."""
import asyncio
import sys
import unittest

import crowd
from crowd import DOWNLOAD_BYTES, MOST_BODY, Node, send_all, stay
from uploads import UploadMesh


async def body_with_length(node, piece, pause_s):
    """All of a body but its last byte."""
    connection = await node.open()
    if connection is None:
        return
    reader, writer = connection
    try:
        writer.write(node.head("POST", "/order/x", f"Content-Length: {MOST_BODY}\r\n"))
        await send_all(writer, b"y" * (MOST_BODY - 1), piece, pause_s)
        await stay(reader, writer)
    except ConnectionError:
        crowd.abort(writer)


async def whole_bodies(node, _number):
    """As fast as the connection takes it."""
    await body_with_length(node, 65536, 0)


async def bodies_piece_by_piece(node, _number):
    """In pieces of 4 kB."""
    await body_with_length(node, 4096, 0.0005)


async def chunked(node, size, count):
    """A chunked body without its last chunk."""
    connection = await node.open()
    if connection is None:
        return
    reader, writer = connection
    try:
        writer.write(node.head("POST", "/order/x", "Transfer-Encoding: chunked\r\n"))
        chunk = f"{size:x}\r\n".encode() + b"y" * size + b"\r\n"
        at_once = max(65536 // len(chunk), 1)
        for _ in range(count // at_once):
            writer.write(chunk * at_once)
            await writer.drain()
        await stay(reader, writer)
    except ConnectionError:
        crowd.abort(writer)


async def large_chunks(node, _number):
    """Chunks of 64 kB, just short of the longest body."""
    await chunked(node, 65536, MOST_BODY // 65536 - 1)


async def small_chunks(node, _number):
    """Chunks of 3 bytes: 10 MB on the wire for a body of 4 MB."""
    await chunked(node, 3, 1_300_000)


async def slow_downloads(node, _number):
    """A long response, read at 20 kB a second."""
    connection = await node.open()
    if connection is None:
        return
    reader, writer = connection
    reader._limit = 4096  # pylint: disable=protected-access  # Reads little ahead.
    writer.write(node.head("GET", "/sheet/x"))
    received = 0
    try:
        while received < DOWNLOAD_BYTES:
            data = await reader.read(2000)
            if not data:
                break
            received += len(data)
            await asyncio.sleep(0.1)
    except ConnectionError:
        pass
    finally:
        crowd.abort(writer)


async def heads_piece_by_piece(node, _number):
    """A head of 15 kB, some bytes at a time, that never ends; a new connection after each refusal."""
    while True:
        connection = await node.open()
        if connection is None:
            await asyncio.sleep(0.05)
            continue
        reader, writer = connection
        try:
            writer.write(b"GET /read/x HTTP/1.1\r\nHost: shop.example\r\nX-Fill: ")
            for _ in range(60):
                writer.write(b"h" * 250)
                await writer.drain()
                await asyncio.sleep(0.05)
            await stay(reader, writer)
        except ConnectionError:
            crowd.abort(writer)


async def pipelines_without_reading(node, _number):
    """Reads of a long response sent ahead on one connection, of which nothing is read."""
    connection = await node.open()
    if connection is None:
        return
    _, writer = connection
    writer.transport.pause_reading()
    try:
        for _ in range(200):
            writer.write(node.head("GET", "/sheet/x"))
        await writer.drain()
        await asyncio.sleep(3600)
    except ConnectionError:
        pass
    finally:
        crowd.abort(writer)


async def everything_together(node, number):
    """All of the above."""
    kinds = (whole_bodies, bodies_piece_by_piece, large_chunks, small_chunks, slow_downloads, heads_piece_by_piece,
             pipelines_without_reading)
    await kinds[number % len(kinds)](node, number)


class UntrustedClients(unittest.TestCase):
    """Each test starts a node of its own."""

    def play(self, client, count=crowd.CLIENTS):
        """Plays a crowd against a new node."""
        async def run():
            node = Node()
            try:
                await node.start()
                return await node.play(client, count)
            finally:
                await node.close()
        print(f"{self.id().rsplit('.', 1)[-1]}:", flush=True)
        self.assertEqual(asyncio.run(run()), [])

    def test_whole_bodies(self):
        """Guards against bodies that are held without a bound until their last byte."""
        self.play(whole_bodies)

    def test_bodies_piece_by_piece(self):
        """The same, as they come in pieces."""
        self.play(bodies_piece_by_piece)

    def test_large_chunks(self):
        """The same for bodies without a stated length."""
        self.play(large_chunks)

    def test_small_chunks(self):
        """Guards against framing that costs more than the body that it carries."""
        self.play(small_chunks)

    def test_slow_downloads(self):
        """Guards against responses that are held for clients that hardly read."""
        self.play(slow_downloads)

    def test_heads_piece_by_piece(self):
        """Guards against connections without a request that take all descriptors."""
        self.play(heads_piece_by_piece, 350)

    def test_pipelines_without_reading(self):
        """Guards against responses to requests sent ahead that nobody reads."""
        self.play(pipelines_without_reading)

    def test_everything_together(self):
        """All crowds at once."""
        self.play(everything_together, 70)

    def test_uploads_between_nodes(self):
        """Guards against bodies from other nodes that are held without a bound until a backend server has read them."""
        async def run():
            mesh = UploadMesh()
            try:
                await mesh.start()
                return await mesh.play()
            finally:
                await mesh.close()
        self.assertEqual(asyncio.run(run()), [])

    def test_single_large_body_in_calm(self):
        """Guards against limits that a client inside the configuration's limits meets."""
        async def run():
            node = Node()
            try:
                await node.start()
                served = await node.ordinary("POST", "/order/x", b"y" * MOST_BODY)
                peak, _ = node.watch.stop()
                return served, peak
            finally:
                await node.close()
        served, peak = asyncio.run(run())
        self.assertTrue(served)
        self.assertLessEqual(peak, crowd.MEMORY_BYTES)


if __name__ == "__main__":
    arguments = [name if name.startswith("test_") else f"test_{name}" for name in sys.argv[1:]]
    unittest.main(argv=[sys.argv[0]] + [f"UntrustedClients.{name}" for name in arguments], verbosity=0, warnings="ignore")
