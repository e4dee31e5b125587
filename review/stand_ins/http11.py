"""A small HTTP/1.1 reader and writer on asyncio streams, for the stand-ins.

Only the standard library is used. Requests and responses have a Content-Length or are
chunked; nothing else is needed here.
"""

import asyncio

REASON = b"X"


class Message:
    """Start line, headers (lower-case names) and body of a request or response."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self):
        """Status code of a response."""
        return int(self.start.split(b" ", 2)[1])

    @property
    def method(self):
        """Method of a request."""
        return self.start.split(b" ", 2)[0].decode()

    @property
    def target(self):
        """Target of a request."""
        return self.start.split(b" ", 2)[1].decode()

    def get(self, name, default=""):
        """Value of a header."""
        return self.headers.get(name, default)


async def read_head(reader):
    """Read the start line and the headers; None if the peer closed before them."""
    line = await reader.readline()
    while line in (b"\r\n", b"\n"):
        line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        item = await reader.readline()
        if not item:
            raise ConnectionResetError("closed inside a head")
        if item in (b"\r\n", b"\n"):
            return Message(line.rstrip(), headers, b"")
        name, _, value = item.partition(b":")
        headers[name.strip().lower().decode()] = value.strip().decode("latin-1")


async def read_message(reader):
    """Read a whole message; None if the peer closed before it."""
    message = await read_head(reader)
    if message is None:
        return None
    if "content-length" in message.headers:
        length = int(message.headers["content-length"])
        message.body = await reader.readexactly(length)
    elif message.get("transfer-encoding").lower() == "chunked":
        message.body = b"".join([part async for part in read_chunks(reader)])
    return message


async def read_chunks(reader):
    """Yield the chunks of a body; raises if it ends before the last chunk."""
    while True:
        line = await reader.readline()
        if not line:
            raise asyncio.IncompleteReadError(b"", None)
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return
        yield data


def encode_response(status, headers, body):
    """Return the bytes of a response with a length."""
    lines = [b"HTTP/1.1 %d %s" % (status, REASON)]
    lines += [f"{name}: {value}".encode("latin-1") for name, value in headers]
    lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def encode_request(method, target, headers, body=b""):
    """Return the bytes of a request with a length."""
    lines = [f"{method} {target} HTTP/1.1".encode()]
    lines += [f"{name}: {value}".encode("latin-1") for name, value in headers]
    if body or method != "GET":
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
