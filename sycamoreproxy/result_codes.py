"""Numbered result codes of all refusals; docs/errors.md is rendered from this table."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Executed(StrEnum):
    """Whether the refused request was executed by its upstream."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


@dataclass(frozen=True, slots=True)
class ResultCode:
    """One row of the table of result codes.

    :param number: the code; its first two digits identify the group.
    :param name: a stable identifier in snake case.
    :param http_status: the status of an HTTP response with this code.
    :param description: human-readable description of the failure.
    :param retry_helps: whether the same request may succeed later.
    """

    number: int
    name: str
    http_status: int
    description: str
    retry_helps: bool = False


_codes_by_number: dict[int, ResultCode] = {}


def _define(
    number: int, name: str, http_status: int, description: str, *, retry_helps: bool = False
) -> ResultCode:
    code = ResultCode(number, name, http_status, description, retry_helps)
    if number in _codes_by_number:
        raise ValueError(f"result code {number} is defined twice")
    _codes_by_number[number] = code
    return code


# 10xx: malformed or invalid requests.
MALFORMED_BODY = _define(1001, "malformed_body", 400, "The body is not valid JSON.")
INVALID_FIELD = _define(1002, "invalid_field", 400, "A field is missing or has a wrong type.")
BODY_TOO_LARGE = _define(1003, "body_too_large", 413, "The body exceeds the size limit.")
HEADERS_TOO_LARGE = _define(1004, "headers_too_large", 431, "The headers exceed the size limit.")
UNKNOWN_MODEL = _define(1005, "unknown_model", 404, "No model has this name.")
UNKNOWN_SERVICE = _define(1006, "unknown_service", 404, "No service has this name.")
UNKNOWN_ROUTE = _define(1014, "unknown_route", 404, "No route has this host and path.")
INVALID_HEADER = _define(1015, "invalid_header", 400, "A header of the request is malformed.")
UNKNOWN_PATH = _define(1007, "unknown_path", 404, "Nothing is served at this path.")
METHOD_NOT_ALLOWED = _define(1008, "method_not_allowed", 405, "The path has no such method.")
UNKNOWN_RANK = _define(1009, "unknown_rank", 400, "No rank has this name.")
INVALID_DEADLINE = _define(1010, "invalid_deadline", 400, "The deadline is not a positive number.")
SLOW_SENDER = _define(1011, "slow_sender", 408, "The request was not received in time.")
INVALID_IDEMPOTENCY_KEY = _define(
    1012, "invalid_idempotency_key", 400, "The idempotency key is empty or too long."
)
TOO_MANY_CONNECTIONS = _define(
    1013, "too_many_connections", 503, "Too many connections are open.", retry_helps=True
)

# 11xx: authentication and authorization.
MISSING_KEY = _define(1101, "missing_key", 401, "No bearer key was given.")
UNKNOWN_KEY = _define(1102, "unknown_key", 401, "The bearer key is not known.")
RANK_NOT_ALLOWED = _define(1103, "rank_not_allowed", 403, "The client account may not use it.")
UNKNOWN_OPERATOR = _define(1104, "unknown_operator", 401, "The operator token is not known.")

# 12xx: limits and capacity.
CONCURRENT_LIMIT = _define(
    1201, "concurrent_limit", 429, "Too many requests of this row are open.", retry_helps=True
)
REQUEST_LIMIT = _define(
    1202, "request_limit", 429, "The requests a minute of this row are spent.", retry_helps=True
)
TOKEN_LIMIT = _define(
    1203, "token_limit", 429, "The tokens a minute of this row are spent.", retry_helps=True
)
DEADLINE_UNREACHABLE = _define(
    1204, "deadline_unreachable", 503, "The deadline cannot be met.", retry_helps=True
)
QUEUE_FULL = _define(
    1205, "queue_full", 503, "The queue of the upstream is full.", retry_helps=True
)
NO_UPSTREAM = _define(
    1206, "no_upstream", 503, "No upstream that may take work serves this.", retry_helps=True
)
LEAVING = _define(1207, "leaving", 503, "The process is stopping.", retry_helps=True)
VERSION_NOT_READY = _define(
    1208, "version_not_ready", 503, "No whole version of the model is loaded.", retry_helps=True
)
RETRY_BUDGET_SPENT = _define(
    1209, "retry_budget_spent", 503, "The retry budget is spent.", retry_helps=True
)

NO_CONFIGURATION = _define(
    1210, "no_configuration", 503, "The process knows no configuration yet.", retry_helps=True
)
OVERLOADED = _define(
    1211, "overloaded", 503, "The engines have no room for this rank in time.", retry_helps=True
)
UPSTREAM_REFUSED = _define(
    1212, "upstream_refused", 503, "The upstreams refused it unrun.", retry_helps=True
)
QUARANTINED_PROMPT = _define(
    1213,
    "quarantined_prompt",
    503,
    "A part of the prompt crashed several engines.",
    retry_helps=True,
)
BODIES_TOO_LARGE = _define(
    1214,
    "bodies_too_large",
    503,
    "The bodies of the requests in progress leave no memory for this one.",
    retry_helps=True,
)

# 1220 to 1222: no upstream of a permitted availability zone.
NO_UPSTREAM_IN_REGION = _define(
    1220,
    "no_upstream_in_region",
    503,
    "No upstream in an allowed region serves this.",
    retry_helps=True,
)
ZONES_EVACUATED = _define(
    1221, "zones_evacuated", 503, "All zones that may serve this are evacuated.", retry_helps=True
)
NO_ALLOWED_REGION = _define(1222, "no_allowed_region", 503, "No region with a zone may serve this.")

# 13xx: upstreams and responses.
UPSTREAM_FAILED = _define(1301, "upstream_failed", 502, "The upstream failed the request.")
UPSTREAM_LOST = _define(1302, "upstream_lost", 502, "The connection to the upstream was lost.")
UPSTREAM_TIMEOUT = _define(1303, "upstream_timeout", 504, "The upstream gave no answer in time.")
ANSWER_INCOMPLETE = _define(1304, "answer_incomplete", 502, "The answer is not whole.")
MIXED_VERSIONS = _define(1305, "mixed_versions", 502, "The answer mixed two model versions.")
TIMED_OUT = _define(1307, "timed_out", 504, "The route's time limit is over.")
ANSWER_TOO_LONG = _define(1308, "answer_too_long", 502, "The answer exceeds the size limit.")
CALLER_GONE = _define(1306, "caller_gone", 499, "The caller closed the connection.")

# 14xx: claims of non-idempotent requests.
CLAIM_STORE_UNAVAILABLE = _define(
    1401, "claim_store_unavailable", 503, "The claim could not be written.", retry_helps=True
)
CLAIM_IN_PROGRESS = _define(
    1402, "claim_in_progress", 409, "A request with this key is in progress.", retry_helps=True
)
CLAIM_MISMATCH = _define(1403, "claim_mismatch", 422, "The key was used for another request.")
CLAIM_OUTCOME_UNKNOWN = _define(
    1404, "claim_outcome_unknown", 502, "The outcome of the first request is not known."
)
CLAIM_OUTCOME_NOT_KEPT = _define(
    1405, "claim_outcome_not_kept", 409, "The first request ran; its answer was too large to keep."
)

# 15xx: the table and its store.
TABLE_CONFLICT = _define(1501, "table_conflict", 409, "A cell has another value than its base.")
TABLE_INVALID = _define(1502, "table_invalid", 422, "The change breaks a rule of the table.")
TABLE_NOT_ACCEPTED = _define(
    1503, "table_not_accepted", 503, "The store is down; the change was not made.", retry_helps=True
)
TABLE_OUTCOME_UNKNOWN = _define(
    1504, "table_outcome_unknown", 504, "It is not known yet whether the change was accepted."
)
UNKNOWN_REVISION = _define(1505, "unknown_revision", 404, "No such revision is held.")
UNKNOWN_CHANGE = _define(1506, "unknown_change", 404, "No such change was accepted.")
STORE_UNAVAILABLE = _define(
    1507, "store_unavailable", 503, "The store did not answer the query.", retry_helps=True
)
UNUSABLE_VALUE = _define(
    1510, "unusable_value", 422, "A document or setting is not usable; it changes nothing."
)

# 16xx: weights and engine orders.
ORDER_REFUSED = _define(1601, "order_refused", 502, "The engine refused the order.")
LEASE_NOT_PROVED = _define(1602, "lease_not_proved", 503, "The lease may have expired.")
CHUNK_CORRUPT = _define(1603, "chunk_corrupt", 502, "A chunk does not match its digest.")
VERSION_UNKNOWN = _define(1604, "version_unknown", 404, "The origin has no such version.")

# 19xx: internal errors and protocol errors.
INTERNAL = _define(1901, "internal", 500, "The program failed the request.")
INVARIANT_VIOLATED = _define(1902, "invariant_violated", 500, "An invariant did not hold.")
PROTOCOL_ERROR = _define(1903, "protocol_error", 502, "A peer broke the wire protocol.")


def list_codes() -> list[ResultCode]:
    """Return all result codes in ascending order of their number."""
    return [_codes_by_number[number] for number in sorted(_codes_by_number)]


def get_code(number: int) -> ResultCode:
    """Return the result code with a number, or :data:`INTERNAL` if the number is unknown.

    A peer of a newer version may send a code that this version does not define.
    """
    return _codes_by_number.get(number, INTERNAL)


@dataclass(frozen=True, slots=True)
class Refusal:
    """The reason why a request was not answered with a complete response.

    :param code: the result code.
    :param executed: whether the upstream executed the request; ``NO`` only if it certainly did not.
    :param detail: human-readable details of this case; must not contain secrets.
    :param retry_after_ms: time after which a retry may succeed, in milliseconds; 0 if a retry would
        not help.
    """

    code: ResultCode
    executed: Executed
    detail: str = ""
    retry_after_ms: int = 0

    def as_body(self) -> dict[str, dict[str, object]]:
        """Return the JSON body of an HTTP response for this refusal."""
        message = (
            self.code.description if not self.detail else f"{self.code.description} {self.detail}"
        )
        return {
            "error": {
                "code": self.code.number,
                "name": self.code.name,
                "type": self.code.name,
                "message": message,
                "executed": str(self.executed),
            }
        }


def render_error_page() -> str:
    """Return the text of docs/errors.md."""
    lines = [
        "# Result codes",
        "",
        "Rendered from `sycamoreproxy/result_codes.py`; a test compares the two.",
        "`executed` stands in each refusal itself: the same code can be sent before or after",
        "the upstream was asked.",
        "",
        "| code | name | HTTP status | meaning | a retry may help |",
        "| --- | --- | --- | --- | --- |",
    ]
    for code in list_codes():
        retry = "yes" if code.retry_helps else "no"
        lines.append(
            f"| {code.number} | `{code.name}` | {code.http_status} | {code.description} | {retry} |"
        )
    return "\n".join(lines) + "\n"
