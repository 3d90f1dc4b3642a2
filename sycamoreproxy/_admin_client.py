"""HTTP client of the administration API for the command line."""

from __future__ import annotations

import json
import ssl
import time
import uuid
from collections.abc import Sequence
from pathlib import Path
from typing import Any
from urllib.parse import quote, urlencode

#: Longest wait for one answer in seconds; a commit may take 15 s on the server.
REQUEST_TIMEOUT_S = 20.0
CONNECT_TIMEOUT_S = 3.0
#: How long an unknown outcome is asked for, and the pause between two questions, in seconds.
RESOLVE_TIMEOUT_S = 30.0
RESOLVE_PAUSE_S = 0.5

_UNKNOWN_CHANGE = 1506
_OUTCOME_UNKNOWN = 1504
_CONFLICT = 1501


class ExitStatus:
    """Exit statuses of the command line."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    OUTCOME_UNKNOWN = 4
    NOT_IN_FORCE = 5


class CommandError(Exception):
    """A command failed.

    :param message: one sentence for the operator.
    :param status: exit status.
    :param body: JSON answer of the server, if there was one.
    """

    def __init__(self, message: str, *, status: int = ExitStatus.FAILED, body: Any = None) -> None:
        super().__init__(message)
        self.status = status
        self.body = body


class AdminClient:
    """Asks the first administration address that answers.

    :param addresses: base URLs or ``IP:PORT``, tried in order.
    :param token: operator token.
    :param authority: PEM file of the authority of the hosts' certificates.
    """

    def __init__(
        self, *, addresses: Sequence[str], token: str, authority: Path | None = None
    ) -> None:
        from tornado.httpclient import HTTPClient

        scheme = "http" if authority is None else "https"
        self._addresses = [
            item if "://" in item else f"{scheme}://{item}"
            for item in (part.strip().rstrip("/") for part in addresses)
            if item
        ]
        if not self._addresses:
            raise CommandError("no administration address; set SYCAMORE_ADMIN or --admin")
        self._token = token
        self._tls: ssl.SSLContext | None = None
        if authority is not None:
            try:
                self._tls = ssl.create_default_context(cafile=str(authority))
            except (OSError, ssl.SSLError) as error:
                raise CommandError(f"{authority}: {error}") from error
            # Hosts are reached by IP address and replaced at any time; the authority signs only
            # this deployment's hosts.
            self._tls.check_hostname = False
        self._http = HTTPClient()

    def close(self) -> None:
        """Release the client's event loop."""
        self._http.close()

    def query(self, path: str, **arguments: str) -> Any:
        """Return the JSON answer of a query.

        :raises CommandError: if no address answers, or the answer is a refusal.
        """
        given = {name: value for name, value in arguments.items() if value}
        query = f"?{urlencode(given)}" if given else ""
        status, body = self._send("GET", path + query, None)
        if status != 200:
            raise _refusal_error(status, body)
        return body

    def commit(self, edits: Sequence[dict[str, str]]) -> dict[str, Any]:
        """Commit edits; an unknown outcome is resolved by the change id.

        :returns: ``{"revision", "change_id"}``.
        :raises CommandError: with the status of a conflict, a refusal or an unknown outcome.
        """
        change_id = uuid.uuid4().hex
        request = {"change_id": change_id, "edits": list(edits)}
        try:
            # The change id makes the repeat at another address harmless.
            status, body = self._send("POST", "/v1/table/edits", request)
        except _LostAnswerError:
            return self._resolve(change_id)
        if status == 200:
            return dict(body)
        if not _error_code(body) or body["error"].get("executed") != "no":
            return self._resolve(change_id)
        raise _refusal_error(status, body)

    def _resolve(self, change_id: str) -> dict[str, Any]:
        """Ask until the change is known as accepted."""
        end = time.monotonic() + RESOLVE_TIMEOUT_S
        while True:
            try:
                return dict(self.query(f"/v1/table/changes/{quote(change_id)}"))
            except CommandError as error:
                last = error
            if time.monotonic() + RESOLVE_PAUSE_S > end:
                break
            time.sleep(RESOLVE_PAUSE_S)
        # A commit whose answer was lost can still arrive, so an unknown id proves nothing yet.
        seen = "not accepted so far" if _error_code(last.body) == _UNKNOWN_CHANGE else str(last)
        raise CommandError(
            f"The outcome of change {change_id} is not known ({seen}). Ask again with:"
            f" sycamorectl table change {change_id}",
            status=ExitStatus.OUTCOME_UNKNOWN,
            body=last.body,
        ) from last

    def _send(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        from tornado.httpclient import HTTPRequest

        from sycamoreproxy._http_client import is_valid_status

        failures: list[str] = []
        answer_lost = False
        for address in self._addresses:
            request = HTTPRequest(
                address + path,
                method=method,
                headers={
                    "Authorization": f"Bearer {self._token}",
                    "Content-Type": "application/json",
                },
                body=None if body is None else json.dumps(body),
                request_timeout=REQUEST_TIMEOUT_S,
                connect_timeout=CONNECT_TIMEOUT_S,
                ssl_options=self._tls,
                follow_redirects=False,
            )
            try:
                response = self._http.fetch(request, raise_error=False)
            except Exception as error:
                # The client raises socket, TLS and its own errors without a common base.
                failures.append(f"{address}: {error}")
                answer_lost = answer_lost or not isinstance(error, ConnectionRefusedError)
                continue
            if response.code == 599 or not is_valid_status(response.code):
                failures.append(f"{address}: {response.error}")
                answer_lost = True
                continue
            try:
                return response.code, json.loads(response.body)
            except ValueError:
                return response.code, None
        message = f"no administration address answers: {'; '.join(failures)}"
        if method == "POST" and answer_lost:
            raise _LostAnswerError(message)
        raise CommandError(message)


class _LostAnswerError(CommandError):
    """The request may have been received; no answer came."""


def _error_code(body: Any) -> int:
    if isinstance(body, dict) and isinstance(body.get("error"), dict):
        return int(body["error"].get("code", 0))
    return 0


def _refusal_error(status: int, body: Any) -> CommandError:
    code = _error_code(body)
    if not code:
        return CommandError(f"the server answered with HTTP status {status}", body=body)
    error = body["error"]
    exit_status = {
        _CONFLICT: ExitStatus.CONFLICT,
        _OUTCOME_UNKNOWN: ExitStatus.OUTCOME_UNKNOWN,
    }.get(code, ExitStatus.FAILED)
    return CommandError(
        f"{code} {error.get('name')}: {error.get('message')}", status=exit_status, body=body
    )
