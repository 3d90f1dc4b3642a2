"""Guards against documents of another shape that name an upstream or stop the process."""

from __future__ import annotations

import json
from typing import Any

import pytest

from sycamoreproxy.document_source import DocumentError
from sycamoreproxy.platform.documents import PlatformDocuments
from sycamoreproxy.route_table import RouteKind

RUNNER: dict[str, Any] = {
    "service": "model",
    "address": "10.0.0.9:8080",
    "zone": "z1",
    "version": "software 7",
    "slots": 16,
    "state": "ready",
    "models": [{"name": "m1", "version": 3, "adapters": []}],
    "sequence": 4,
    "born": 17,
}
ROUTE: dict[str, Any] = {
    "name": "r1",
    "hostname": "office.example",
    "prefix": "/a/",
    "kind": "streaming",
    "timeout_ms": 6000,
    "target_latency_ms": 404,
    "priority": 2,
    "service": "model",
    "max_attempts": 2,
    "session_affinity": True,
    "stream_resume": True,
    "gap_target_ms": 400,
}
CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "model", "max_connections": 434}],
    "limits": {"max_body_bytes": 4096},
    "tenants": [{"name": "office", "api_keys": ["k1", "k2"], "priority": 1}],
}


def encode(value: Any) -> bytes:
    return json.dumps(value).encode()


def test_runner_is_decoded() -> None:
    record = PlatformDocuments().read_upstream("i-1", encode(RUNNER))
    assert (record.service, str(record.address), record.started_ms) == (
        "model",
        "10.0.0.9:8080",
        17,
    )
    assert record.version_by_model == (("m1", 3),) and not record.is_leaving


@pytest.mark.parametrize(
    "change",
    [
        {"service": 5},
        {"address": "nowhere"},
        {"address": None},
        {"zone": []},
        {"slots": "16"},
        {"slots": True},
        {"state": "unheard-of"},
        {"models": [{"name": "m1"}]},
        {"models": "m1"},
        {"models": [{"name": "m1", "version": float("inf")}]},
        {"models": [{"name": "m1", "version": 10**400}]},
        {"models": [{"name": "m1", "version": -1}]},
        {"slots": 10**400},
        {"slots": -1},
        {"born": 10**400},
        {"address": "10.0.0.9:65536"},
        {"address": "10.0.0.9:0"},
        {"address": "10.0.0.9:" + "9" * 5000},
        {"zone": "z\ud800"},
        {"service": "x" * 100_000},
    ],
)
def test_entry_of_another_writer_names_no_runner(change: dict[str, Any]) -> None:
    with pytest.raises(DocumentError):
        PlatformDocuments().read_upstream("i-1", encode({**RUNNER, **change}))


@pytest.mark.parametrize("instance", ["", "i 1", "i-1\r\nX: y", "i-\ud800", "i-é", "i" * 201])
def test_entry_whose_key_is_no_instance_names_no_runner(instance: str) -> None:
    with pytest.raises(DocumentError):
        PlatformDocuments().read_upstream(instance, encode(RUNNER))


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b"null",
        b"{",
        b"[" * 100_000,
        b'{"a":' * 100_000,
        b'{"version":1e999,"slots":1e999}',
        b'{"version":' + b"9" * 400 + b"}",
        b'{"version":' + b"9" * 5_000 + b"}",
    ],
)
def test_bytes_that_are_no_document(value: bytes) -> None:
    documents = PlatformDocuments()
    with pytest.raises(DocumentError):
        documents.read_upstream("i-1", value)
    with pytest.raises(DocumentError):
        documents.read_routes(value)
    with pytest.raises(DocumentError):
        documents.read_version(value)


def test_configuration_is_decoded() -> None:
    table = PlatformDocuments().read_routes(encode(CONFIGURATION))
    route = table.match("office.example", "/a/b")
    assert route is not None and route.kind is RouteKind.STREAMING
    assert (route.timeout_s, route.target_latency_s, route.target_gap_s, route.rank) == (
        6.0,
        0.404,
        0.4,
        2,
    )
    assert route.is_resumable and route.is_generation and route.max_attempts == 2
    assert table.account_by_key == {"k1": "office", "k2": "office"} and table.needs_keys
    assert table.bounds.max_body_bytes == 4096 and table.revision == 7


#: Figures that are none, as JSON, and the longest time and highest rate that are used.
BAD_FIGURES = ["-1", "1e999", "NaN", '"3"', "true", "[]", "{}", "1" + "0" * 400]


@pytest.mark.parametrize(
    ("figure", "remaining_ms"),
    [("0", 0.0), ("1500", 1500.0), ("2.5", 2.5), ("null", 0.0), *((f, 0.0) for f in BAD_FIGURES)],
)
def test_time_until_a_runner_is_warm(figure: str, remaining_ms: float) -> None:
    """A malformed figure must neither throttle a runner nor hide its record."""
    value = json.dumps(RUNNER)[:-1] + f', "cold_remaining_ms": {figure}}}'
    record = PlatformDocuments().read_upstream("i-1", value.encode())
    assert (record.instance, record.cold_remaining_ms) == ("i-1", remaining_ms)


@pytest.mark.parametrize(
    ("start_s", "per_s", "expected"),
    [
        ("3.0", "26.0", (3.0, 26.0)),
        ("null", "null", (0.0, 0.0)),
        ("601", "1e7", (0.0, 0.0)),
        *((figure, "26", (0.0, 26.0)) for figure in BAD_FIGURES),
        *(("3", figure, (3.0, 0.0)) for figure in BAD_FIGURES),
    ],
)
def test_figures_of_cold_upstreams(start_s: str, per_s: str, expected: tuple[float, float]) -> None:
    """A malformed figure must not make the process refuse the configuration."""
    value = json.dumps(CONFIGURATION).replace(
        '"max_connections": 434', f'"cold_start_s": {start_s}, "cold_per_s": {per_s}'
    )
    spec = PlatformDocuments().read_routes(value.encode()).services_by_name["model"]
    assert (spec.cold_start_s, spec.cold_per_s) == expected


def test_ignored_figure_is_logged_once(capsys: pytest.CaptureFixture[str]) -> None:
    documents = PlatformDocuments()
    for _ in range(3):
        documents.read_upstream("i-1", encode({**RUNNER, "cold_remaining_ms": -5}))
    assert capsys.readouterr().out.count("figure ignored") == 1


@pytest.mark.parametrize("tenants", [None, "absent"])
def test_configuration_without_accounts_needs_no_keys(tenants: Any) -> None:
    data = {**CONFIGURATION, "tenants": tenants}
    if tenants == "absent":
        del data["tenants"]
    assert not PlatformDocuments().read_routes(encode(data)).needs_keys


@pytest.mark.parametrize("missing", ["version", "routes", "services"])
def test_incomplete_configuration_is_refused(missing: str) -> None:
    data = {key: value for key, value in CONFIGURATION.items() if key != missing}
    with pytest.raises(DocumentError):
        PlatformDocuments().read_routes(encode(data))


@pytest.mark.parametrize(
    ("key", "routes", "model", "instance"),
    [
        ("op/config", True, None, None),
        ("op/version/m1", False, "m1", None),
        ("servers/i-1", False, None, "i-1"),
        ("op/other", False, None, None),
    ],
)
def test_keys(key: str, routes: bool, model: str | None, instance: str | None) -> None:
    documents = PlatformDocuments()
    found = (documents.is_routes(key), documents.model_of(key), documents.instance_of(key))
    assert found == (routes, model, instance)
