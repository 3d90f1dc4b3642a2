"""A small HTTP/1.1 server and client over asyncio streams, for the stand-ins of the review."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

#: Largest head of a message, in bytes.
MAX_HEAD_BYTES = 65_536


@dataclass(slots=True)
class Message:
    """A request or an answer.

    :param first: words of the first line.
    :param headers_by_name: headers by lower-case name.
    :param is_whole: whether the end of the body was seen.
    """

    first: list[str]
    headers_by_name: dict[str, str]
    body: bytes = b""
    is_whole: bool = True

    @property
    def path(self) -> str:
        """Path of a request, without its query."""
        return urlsplit(self.first[1]).path

    @property
    def query_by_name(self) -> dict[str, str]:
        """Fields of a request's query."""
        return {name: values[0] for name, values in parse_qs(urlsplit(self.first[1]).query).items()}


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the first line and the headers; None if the connection ends before they are whole."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = text[:-4].split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Message(first.split(" ", 2), {name.lower(): value.strip() for name, _, value in pairs})


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body that the headers announce."""
    headers = message.headers_by_name
    try:
        if headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                message.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        elif "content-length" in headers:
            message.body = await reader.readexactly(int(headers["content-length"]))
    except asyncio.IncompleteReadError as error:
        message.body += error.partial
        message.is_whole = False
    except (OSError, ValueError):
        message.is_whole = False


@dataclass(slots=True)
class Exchange:
    """One request at a stand-in, and the connection for its answer."""

    request: Message
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def is_left(self) -> bool:
        """Whether the other end has closed the connection."""
        return self.reader.at_eof() or self.writer.is_closing()

    def answer(self, status: int, body: bytes = b"", **headers: str) -> None:
        """Write an answer with a length."""
        self.begin(status, **{**headers, "Content_Length": str(len(body))})
        self.writer.write(body)

    def answer_json(self, value: Any, status: int = 200) -> None:
        """Write an answer in JSON."""
        self.answer(status, json.dumps(value).encode(), Content_Type="application/json")

    def begin(self, status: int, **headers: str) -> None:
        """Write the head of an answer; underscores in names stand for hyphens."""
        lines = [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        self.writer.write("\r\n".join([f"HTTP/1.1 {status} X", *lines, "", ""]).encode())

    def write_chunk(self, data: bytes) -> None:
        """Write a chunk of a body; an empty one ends it."""
        self.writer.write(b"%x\r\n%b\r\n" % (len(data), data))


Handler = Callable[[Exchange], Awaitable[None]]


@dataclass(slots=True)
class Server:
    """An HTTP server whose connections can be reset, as those of a process that crashes."""

    handler: Handler
    ip: str
    port: int
    listener: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def open(self) -> None:
        """Listen."""
        self.listener = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=MAX_HEAD_BYTES, reuse_address=True
        )

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.writers):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                if not request.is_whole:
                    return
                await self.handler(Exchange(request, reader, writer))
                await writer.drain()
        except OSError:
            return
        finally:
            self.writers.discard(writer)
            writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    connection = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00"
        )
    writer.transport.abort()


def write_request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{n}: {v}" for n, v in headers.items())]
    lines += [f"Content-Length: {len(body)}"] if body or method == "POST" else []
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
