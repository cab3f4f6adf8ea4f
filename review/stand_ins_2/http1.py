"""A small HTTP/1.1 reader and writer for the stand-ins."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Message:
    """A request or a response.

    Attributes:
        first: The words of the first line.
        headers: The headers, by name in lower case.
        body: The body.
    """

    first: list[str]
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self):
        """The status of a response."""
        return int(self.first[1])


async def read_message(reader):
    """Reads a message with a length or without a body.

    Raises:
        asyncio.IncompleteReadError: The connection ended before its end.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(first.split(" ", 2), headers, body)


def encode(first, headers, body=b""):
    """Returns the bytes of a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def call(address, method, path, headers, body=b"", timeout_s=1.0):
    """Sends one request on a new connection.

    Returns:
        The response; None if none came in time.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
            return await read_message(reader)
    except (OSError, TimeoutError, EOFError):
        return None
    finally:
        if writer is not None:
            writer.close()
