"""Guards against an administration API that leaks secrets, trusts strangers or hides outcomes."""

import asyncio
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest
from returns.result import Success

from sycamoreproxy.settings import OperatorSettings
from sycamoreproxy.table_commands import Accepted, TableEditor
from tests._admin import EDIT, HEADERS, TOKEN, AdminApi, serve_admin
from tools.launch import digest_key, request_json


@pytest.fixture
def api() -> Iterator[AdminApi]:
    with serve_admin() as served:
        yield served


def _get(api: AdminApi, path: str) -> tuple[int, Any]:
    return request_json("GET", api.url + path, headers=HEADERS)


@pytest.mark.parametrize(
    ("method", "path", "token", "status", "code"),
    [
        ("GET", "/v1/table", "", 401, 1101),
        ("GET", "/v1/table", "wrong", 401, 1104),
        ("GET", "/dump", "", 401, 1101),
        ("POST", "/v1/table/edits", "wrong", 401, 1104),
        ("GET", "/v1/none", TOKEN, 404, 1007),
        ("PUT", "/v1/table", TOKEN, 405, 1008),
        ("GET", "/v1/table/history?limit=x", TOKEN, 400, 1002),
        ("GET", "/v1/table/history?limit=0", TOKEN, 400, 1002),
        ("GET", "/v1/table/status/9", TOKEN, 404, 1505),
        ("GET", "/v1/table/status/-1", TOKEN, 404, 1007),
        ("GET", "/v1/table/changes/none", TOKEN, 404, 1506),
        ("GET", "/v1/table?effective=1&model=lm", TOKEN, 400, 1002),
        ("GET", "/v1/table?model=%FF", TOKEN, 400, 1002),
    ],
)
def test_bad_requests_get_their_code(
    api: AdminApi, method: str, path: str, token: str, status: int, code: int
) -> None:
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    got, answer = request_json(method, api.url + path, headers=headers)
    assert (got, answer["error"]["code"], answer["error"]["executed"]) == (status, code, "no")


@pytest.mark.parametrize(
    "body",
    [
        [],
        {},
        {"change_id": 1, "edits": [EDIT]},
        {"change_id": "a", "edits": []},
        {"change_id": "a", "edits": [1]},
        {"change_id": "a", "edits": [{**EDIT, "value": 2}]},
        {"change_id": "a", "edits": [{**EDIT, "vaule": "2"}]},
        {"change_id": "a", "edits": [{**EDIT, "model": None}]},
    ],
)
def test_malformed_edits_change_nothing(api: AdminApi, body: Any) -> None:
    status, answer = api.post(body)
    assert (status, answer["error"]["code"]) == (400, 1002)
    assert api.revision == 1


def test_health_and_metrics_need_no_token(api: AdminApi) -> None:
    assert request_json("GET", f"{api.url}/health/live")[0] == 200
    assert request_json("GET", f"{api.url}/health/ready")[0] == 200
    assert request_json("GET", f"{api.url}/metrics")[0] == 200
    api.reason = "leaving"
    assert request_json("GET", f"{api.url}/health/ready") == (
        503,
        {"ready": False, "reason": "leaving"},
    )


def test_accepted_edit_is_read_back(api: AdminApi) -> None:
    edit = {**EDIT, "base": "1"}
    assert api.post({"change_id": "a", "edits": [edit]}) == (200, {"revision": 2, "change_id": "a"})
    answer = _get(api, "/v1/table?model=lm&client_account=kiosk&rank=urgent&effective=1")[1]
    assert answer["rows"][0]["cells"] == {"weight": "2"}
    assert answer["policy"]["weight"] == 2.0
    assert _get(api, "/v1/table?model=other")[1]["rows"] == []
    assert _get(api, "/v1/table/changes/a")[1]["revision"] == 2
    newest = _get(api, "/v1/table/history?limit=1")[1]["history"][0]
    assert newest["author"] == "night" and newest["changes"][0]["after"] == "2"
    report = _get(api, "/v1/table/status/2")[1]
    assert (report["in_force"], report["expected"]) == (1, 1)


def test_conflict_shows_both_values(api: AdminApi) -> None:
    status, answer = api.post({"change_id": "a", "edits": [EDIT]})
    assert (status, answer["error"]["code"]) == (409, 1501)
    assert answer["conflicts"] == [{"edit": EDIT, "current": "1"}]


def test_slow_commit_is_unknown_and_still_takes_effect(api: AdminApi) -> None:
    api.faults.replace({"delay_ms": 1000})
    status, answer = api.post({"change_id": "a", "edits": [{**EDIT, "base": "1"}]})
    assert (status, answer["error"]["code"], answer["error"]["executed"]) == (504, 1504, "unknown")
    api.faults.replace({})
    api.wait_for(2)
    assert _get(api, "/v1/table/changes/a")[1]["revision"] == 2


def test_stop_completes_an_edit_in_progress(monkeypatch: pytest.MonkeyPatch) -> None:
    begun = threading.Event()

    async def commit(*_: object, change_id: str, **__: object) -> object:
        begun.set()
        await asyncio.sleep(0.2)
        return Success(Accepted(2, change_id))

    with ThreadPoolExecutor() as pool:
        with serve_admin() as api:
            monkeypatch.setattr(TableEditor, "commit", commit)
            body = {"change_id": "a", "edits": [EDIT]}
            url = f"{api.url}/v1/table/edits"
            answer = pool.submit(request_json, "POST", url, body, headers=HEADERS)
            assert begun.wait(10)
        assert answer.result() == (200, {"revision": 2, "change_id": "a"})


def test_failing_commit_is_an_internal_error_and_the_api_goes_on(
    api: AdminApi, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def fail(*_: object, **__: object) -> None:
        raise RuntimeError("fault of the test")

    monkeypatch.setattr(TableEditor, "commit", fail)
    error = api.post({"change_id": "a", "edits": [EDIT]})[1]["error"]
    assert (error["code"], error["executed"]) == (1901, "unknown")
    assert _get(api, "/v1/table")[0] == 200


def test_dump_shows_no_secret_and_survives_a_failing_part(api: AdminApi) -> None:
    def fail() -> None:
        raise RuntimeError("fault of the test")

    api.parts.dump.add_section("broken", fail)
    api.parts.dump.add_section(
        "requests", lambda: [{"headers": [("Authorization", TOKEN)], "token": TOKEN, "path": "/v1"}]
    )
    api.parts.dump.add_section(
        "operators", lambda: OperatorSettings(name="n", token_sha256=("abc",))
    )
    status, answer = _get(api, "/dump")
    assert status == 200
    assert TOKEN not in str(answer) and digest_key(TOKEN) not in str(answer)
    assert answer["settings"]["operators"][0]["name"] == "night"
    assert "fault of the test" in answer["broken"]["error"]
    assert answer["requests"][0]["path"] == "/v1"


def test_store_outage_is_not_read_as_unknown_change(api: AdminApi) -> None:
    api.faults.replace({"down": True})
    for path in ("/v1/table/changes/a", "/v1/table/history"):
        assert _get(api, path)[1]["error"]["code"] == 1507
    assert _get(api, "/v1/table")[0] == 200
