"""Guards against streams that accept a process without a certificate of the authority."""

import asyncio
import ssl
from dataclasses import replace
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


def _tls(directory: Path, host: str, authority: str = "authority") -> TlsSettings:
    return TlsSettings(
        certificate=directory / f"{host}.pem",
        key=directory / f"{host}.key",
        authority=directory / f"{authority}.pem",
    )


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


def test_processes_of_one_authority_talk_to_each_other(directory: Path) -> None:
    server = make_server_tls(_tls(directory, "upstream-1"), mutual=True)
    client = make_client_tls(_tls(directory, "entry-1"))
    assert server is not None and client is not None
    asyncio.run(_exchange(server, client))


@pytest.mark.parametrize("client", ["plain", "without certificate", "other authority"])
def test_server_refuses_other_processes(directory: Path, client: str) -> None:
    server = make_server_tls(_tls(directory, "upstream-1"), mutual=True)
    context: ssl.SSLContext | None = None
    if client == "without certificate":
        context = ssl.create_default_context(cafile=str(directory / "authority.pem"))
        context.check_hostname = False
    elif client == "other authority":
        context = make_client_tls(_tls(directory, "intruder"))
    with pytest.raises(StreamLostError):
        asyncio.run(_exchange(server, context))


def test_client_refuses_server_of_another_authority(directory: Path) -> None:
    server = make_server_tls(
        replace(_tls(directory, "intruder"), authority=directory / "authority.pem"), mutual=True
    )
    with pytest.raises(StreamLostError):
        asyncio.run(_exchange(server, make_client_tls(_tls(directory, "entry-1"))))
