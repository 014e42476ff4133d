"""HTTP/1.1 messages over asyncio streams, as far as the stand-ins of the soak need them."""
import asyncio
from dataclasses import dataclass, field

HEADER_LIMIT = 65536


class HttpError(Exception):
    """The other side sent bytes that are no message, or broke off."""


@dataclass
class Message:
    """A request (method and target set) or a response (status set). Header names are in lower case."""

    method: str = ""
    target: str = ""
    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""

    def keeps_alive(self):
        """Returns whether the connection may be used again."""
        return self.headers.get("connection", "").lower() != "close"


async def read_head(reader):
    """Reads the first line and the headers. Returns None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise HttpError("cut within the headers") from error
    except (asyncio.LimitOverrunError, ConnectionError) as error:
        raise HttpError(str(error)) from error
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_end):
    """Reads the body that the headers announce."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return await read_chunks(reader)
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"]))
        return await reader.read() if until_end else b""
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise HttpError(f"cut within the body: {error}") from error


async def read_chunks(reader):
    """Reads a chunked body."""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body


async def read_request(reader):
    """Reads a request; None at the end of the stream."""
    head = await read_head(reader)
    if head is None:
        return None
    words = head[0].split(" ")
    if len(words) != 3:
        raise HttpError(f"not a request: {head[0][:80]!r}")
    return Message(method=words[0], target=words[1], headers=head[1], body=await read_body(reader, head[1], False))


async def read_response(reader):
    """Reads a response; None at the end of the stream."""
    head = await read_head(reader)
    if head is None:
        return None
    words = head[0].split(" ", 2)
    if len(words) < 2 or not words[1].isdigit():
        raise HttpError(f"not a response: {head[0][:80]!r}")
    return Message(status=int(words[1]), headers=head[1], body=await read_body(reader, head[1], True))


def request_bytes(method, target, headers, body=b"", chunked=False):
    """Encodes a request."""
    lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
    if chunked:
        lines.append("Transfer-Encoding: chunked")
        body = f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n" if body else b"0\r\n\r\n"
    elif body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def response_bytes(status, headers, body=b""):
    """Encodes a response with a length."""
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def abort(writer):
    """Resets a connection."""
    writer.transport.abort()


def split_address(address):
    """Returns host and port."""
    host, _, port = address.partition(":")
    return host, int(port)


async def serve(address, handler):
    """Starts a server that calls `handler(reader, writer)` for each connection."""
    host, port = split_address(address)
    return await asyncio.start_server(handler, host, port, limit=HEADER_LIMIT, reuse_address=True, backlog=512)


async def call(address, method, target, body=b"", timeout=1.0):
    """Makes one call on a connection of its own. Returns the response, or None without one."""
    host, port = split_address(address)
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), timeout)
        writer.write(request_bytes(method, target, {"Host": address, "Content-Type": "application/json"}, body))
        return await asyncio.wait_for(read_response(reader), timeout)
    except (OSError, asyncio.TimeoutError, HttpError):
        return None
    finally:
        if writer:
            writer.close()
