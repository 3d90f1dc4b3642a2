"""Guards against streams that accept a process without a certificate of the authority."""

import asyncio
import ssl
from pathlib import Path

import pytest
from tornado.testing import bind_unused_port

from sycamoreproxy.messages import Cancel
from sycamoreproxy.settings import TlsSettings, make_client_tls, make_server_tls
from sycamoreproxy.streams import (
    Address,
    MessageServer,
    MessageStream,
    StreamLostError,
    open_stream,
)
from tools.certificates import has_openssl, make_authority, make_certificate

pytestmark = pytest.mark.skipif(not has_openssl(), reason="needs the openssl command")


@pytest.fixture(scope="module")
def directory(tmp_path_factory: pytest.TempPathFactory) -> Path:
    path = tmp_path_factory.mktemp("tls")
    for authority in ("authority", "stranger"):
        make_authority(path, name=authority)
    make_certificate(path, "entry-1")
    make_certificate(path, "upstream-1")
    make_certificate(path, "intruder", authority="stranger")
    return path


def _tls(directory: Path, host: str) -> TlsSettings:
    pem, key = directory / f"{host}.pem", directory / f"{host}.key"
    return TlsSettings(certificate=pem, key=key, authority=directory / "authority.pem")


async def _exchange(server_tls: ssl.SSLContext | None, client_tls: ssl.SSLContext | None) -> None:
    async def echo(stream: MessageStream) -> None:
        stream.send(await stream.read(timeout_s=5))
        await stream.read(timeout_s=5)

    socket, port = bind_unused_port()
    server = MessageServer(handle=echo, tls=server_tls)
    server.add_socket(socket)
    try:
        stream = await open_stream(Address("127.0.0.1", port), tls=client_tls)
        stream.send(Cancel("a"))
        assert await stream.read(timeout_s=5) == Cancel("a")
        stream.close()
    finally:
        server.stop()


def _without_certificate(directory: Path) -> ssl.SSLContext:
    context = ssl.create_default_context(cafile=str(directory / "authority.pem"))
    context.check_hostname = False
    return context


@pytest.mark.parametrize(
    ("server", "client"),
    [
        ("upstream-1", "entry-1"),
        ("upstream-1", "plain"),
        ("upstream-1", "without certificate"),
        ("upstream-1", "intruder"),
        ("intruder", "entry-1"),
    ],
)
def test_only_processes_of_one_authority_talk(directory: Path, server: str, client: str) -> None:
    contexts = {"plain": None, "without certificate": _without_certificate(directory)}
    for host in ("entry-1", "intruder"):
        contexts[host] = make_client_tls(_tls(directory, host))
    exchange = _exchange(make_server_tls(_tls(directory, server), mutual=True), contexts[client])
    if (server, client) == ("upstream-1", "entry-1"):
        asyncio.run(exchange)
        return
    with pytest.raises(StreamLostError):
        asyncio.run(exchange)
