"""The link stand-in: relay, counters, delay, rate, cut and silence, by what connections notice."""
import socket
import threading
import unittest

import harness

SHORT_S = 0.3  # How long a test waits for bytes that must not come.


class EchoServer:
    """Sends back what it receives, and counts its connections."""

    def __init__(self):
        self.socket = socket.create_server((harness.HOST, 0))
        self.port = self.socket.getsockname()[1]
        self.ended = 0  # Connections whose other side has closed.
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Stops listening. Without the shutdown, the waiting accept would keep the port open."""
        if self.socket.fileno() >= 0:
            self.socket.shutdown(socket.SHUT_RDWR)
            self.socket.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            threading.Thread(target=self._echo, args=(connection,), daemon=True).start()

    def _echo(self, connection):
        with connection:
            try:
                while data := connection.recv(65536):
                    connection.sendall(data)
            except OSError:
                pass
        self.ended += 1


def receive(connection, size):
    """Receives exactly `size` bytes."""
    data = b""
    while len(data) < size:
        part = connection.recv(size - len(data))
        if not part:
            raise AssertionError(f"the connection ended after {len(data)} of {size} bytes")
        data += part
    return data


class LinkTest(unittest.TestCase):
    """A link from zone a1 to a2 of the same region and to b1 of another one, both to the same server."""

    def setUp(self):
        self.server = EchoServer()
        self.addCleanup(self.server.close)
        self.near, self.far = harness.free_port(), harness.free_port()
        target = f"{harness.HOST}:{self.server.port}"
        self.link = self.enterContext(harness.Process(
            "wagtailhead-standin-link", f"--route={harness.HOST}:{self.near}/{target}/a1/a2",
            f"--route={harness.HOST}:{self.far}/{target}/a1/b1", "--zone=a1/a", "--zone=a2/a", "--zone=b1/b"))

    def connect(self, port):
        """Opens a connection over the link."""
        connection = socket.create_connection((harness.HOST, port), harness.DEADLINE_S)
        self.addCleanup(connection.close)
        return connection

    def echo(self, connection, data=b"hello"):
        """Checks that data comes back over a connection."""
        connection.sendall(data)
        self.assertEqual(receive(connection, len(data)), data)

    def assert_silent(self, connection):
        """Checks that a connection stays open and passes nothing."""
        connection.sendall(b"lost")
        connection.settimeout(SHORT_S)
        with self.assertRaises((TimeoutError, socket.timeout)):
            connection.recv(1)

    def change(self, **fields):
        """Changes a pair of zones."""
        return self.link.control("/-/pairs", fields)

    def pair(self, source, target):
        """Returns the state of a pair."""
        pairs = self.link.call("GET", "/-/pairs").json["pairs"]
        return next(row for row in pairs if (row["from"], row["to"]) == (source, target))

    def test_relay_counts_bytes_of_each_direction(self):
        """Guards against lost or reordered bytes, and against counters of the wrong pair."""
        connection = self.connect(self.near)
        data = bytes(range(256)) * 8192
        sender = threading.Thread(target=connection.sendall, args=(data,))
        sender.start()
        self.assertEqual(receive(connection, len(data)), data)
        sender.join()
        self.assertEqual(self.pair("a1", "a2")["bytes"], len(data))
        self.assertEqual(self.pair("a2", "a1")["bytes"], len(data))
        self.assertEqual((self.pair("a1", "a2")["opened"], self.pair("a1", "a2")["open"]), (1, 1))
        self.assertEqual((self.pair("a2", "a1")["opened"], self.pair("a1", "b1")["bytes"]), (0, 0))

    def test_end_of_stream_passes_and_frees_the_connection(self):
        """Guards against half-closed connections that lose their answer, and against a leak."""
        connection = self.connect(self.near)
        connection.sendall(b"last words")
        connection.shutdown(socket.SHUT_WR)
        self.assertEqual(receive(connection, 10), b"last words")
        self.assertEqual(connection.recv(1), b"")
        harness.eventually(lambda: self.pair("a1", "a2")["open"] == 0, "the connection is freed")

    def test_cut_drops_and_refuses_until_it_ends(self):
        """Guards against a cut that lets connections live, or that hits another pair."""
        cut, other = self.connect(self.far), self.connect(self.near)
        self.echo(cut)
        self.echo(other)
        self.change(**{"from": "a1", "to": "b1", "cut": True})
        with self.assertRaises((ConnectionError, AssertionError)):
            receive(cut, 1)
        with self.assertRaises(ConnectionRefusedError):
            self.connect(self.far)
        self.echo(other)
        self.change(**{"from": "a1", "to": "b1", "cut": False})
        self.echo(self.connect(self.far))

    def test_silence_of_existing_connections_is_for_good(self):
        """Guards against silence that ends, that hits new connections, or that shows as a closed connection."""
        silent = self.connect(self.far)
        self.echo(silent)
        self.change(**{"from": "a1", "to": "b1", "silent": "existing"})
        self.assert_silent(silent)
        self.echo(self.connect(self.far))
        self.change(**{"from": "a1", "to": "b1", "silent": "none"})
        self.assert_silent(silent)
        ended = self.server.ended
        silent.close()
        fresh = self.connect(self.far)
        self.echo(fresh)
        self.assertEqual(self.server.ended, ended, "the server learned that the silent caller has gone")

    def test_silence_of_all_connections(self):
        """Guards against new connections that pass a silent link, or that stay silent after it."""
        self.change(**{"from": "a1", "to": "b1", "silent": "all"})
        silent = self.connect(self.far)
        self.assert_silent(silent)
        self.echo(self.connect(self.near))
        self.change(**{"from": "a1", "to": "b1", "silent": "none"})
        self.echo(self.connect(self.far))
        self.assert_silent(silent)

    def test_delay_holds_bytes_back(self):
        """Guards against a delay without effect: the bytes must not arrive while it is very long."""
        connection = self.connect(self.near)
        self.echo(connection)
        self.change(**{"from": "a1", "to": "a2", "delayUs": 50_000_000})
        connection.sendall(b"late")
        connection.settimeout(SHORT_S)
        with self.assertRaises((TimeoutError, socket.timeout)):
            connection.recv(1)

    def test_rate_is_shared_by_the_connections_of_a_region_pair(self):
        """Guards against a rate limit that each connection has for itself: one takes what another needs."""
        first, second = self.connect(self.far), self.connect(self.far)
        self.echo(first)
        self.echo(second)
        self.change(**{"from": "a1", "to": "b1", "bytesPerSecond": 10})
        first.sendall(b"x" * 1000)  # Occupies the link for 100 s.
        harness.eventually(lambda: self.pair("a1", "b1")["bytes"] >= 1000, "the link has taken the bytes")
        second.sendall(b"y")
        second.settimeout(SHORT_S)
        with self.assertRaises((TimeoutError, socket.timeout)):
            second.recv(1)
        self.echo(self.connect(self.near))

    def test_target_that_refuses(self):
        """Guards against a connection that hangs when nothing listens behind the link."""
        self.server.close()
        connection = self.connect(self.near)
        harness.eventually(lambda: self.pair("a1", "a2")["open"] == 0, "the connection is dropped")
        with self.assertRaises((ConnectionError, AssertionError)):
            receive(connection, 1)

    def test_unknown_pairs_and_fields_are_refused(self):
        """Guards against a fault that a test believes to be on."""
        self.assertEqual(self.link.call("POST", "/-/pairs", {"from": "a1", "to": "c"}).status, 404)
        self.assertEqual(self.link.call("POST", "/-/pairs", {"from": "a1", "to": "a2", "cutt": True}).status, 400)


if __name__ == "__main__":
    unittest.main()
