"""Documents in the platform's store: the configuration, named weights, runners."""

from __future__ import annotations

import json
import re
from typing import Any

from sycamoreproxy.cold_starts import MAX_COLD_PER_S, MAX_COLD_S
from sycamoreproxy.document_source import DocumentError
from sycamoreproxy.figures import FigureReader
from sycamoreproxy.platform import names
from sycamoreproxy.regions import read_regions, read_regions_by_name
from sycamoreproxy.route_table import (
    CallerBounds,
    EngineProfile,
    Route,
    RouteKind,
    RouteTable,
    ServiceSpec,
    index_routes,
    list_priority_levels,
)
from sycamoreproxy.streams import Address
from sycamoreproxy.upstream_book import UpstreamRecord

#: Time limits of a route that names none, in seconds.
_DEFAULT_TIMEOUT_S = 60.0
_DEFAULT_GOAL_S = 1.0

#: Instance ids are sent in headers.
_INSTANCE = re.compile(r"[!-~]{1,200}")
#: Longest text of an entry in characters, and longest error text.
_MAX_TEXT_CHARACTERS = 1_000
_MAX_ERROR_CHARACTERS = 200
#: Counts from here on are no counts; messages hold smaller ones only.
_COUNT_LIMIT = 1 << 63
#: Errors from documents of another shape, or with numbers that are too large.
_SHAPE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


class PlatformDocuments:
    """Decodes the store's documents into the product's types."""

    # Versions are watched by every process. The readers of a zone watch all that the operators write,
    # so evacuations arrive with the configuration and take no further call.
    prefixes = (names.VERSION_PREFIX, names.OPERATOR_PREFIX, names.RUNNER_PREFIX)
    # A configuration holds all routes and keys; the others take some hundred bytes each.
    shared_prefixes = (names.OPERATOR_PREFIX,)
    evacuation_prefix = names.EVACUATION_PREFIX
    upstream_prefixes = (names.RUNNER_PREFIX,)

    def __init__(self) -> None:
        self._figures = FigureReader()

    def is_routes(self, key: str) -> bool:
        """Return whether a key holds the configuration."""
        return key == names.CONFIG_KEY

    def model_of(self, key: str) -> str | None:
        """Return the model whose version a key names, or None."""
        if key.startswith(names.VERSION_PREFIX):
            return key.removeprefix(names.VERSION_PREFIX)
        return None

    def instance_of(self, key: str) -> str | None:
        """Return the runner that a key describes, or None."""
        if key.startswith(names.RUNNER_PREFIX):
            return key.removeprefix(names.RUNNER_PREFIX)
        return None

    def zone_of(self, key: str) -> str | None:
        """Return the zone whose evacuation a key names, or None."""
        if key.startswith(names.EVACUATION_PREFIX):
            return key.removeprefix(names.EVACUATION_PREFIX)
        return None

    def check_evacuation(self, value: bytes) -> None:
        """Check the document of an evacuated zone, which has no fields.

        :raises DocumentError: if it is no object.
        """
        _read_object(value)

    def read_routes(self, value: bytes) -> RouteTable:
        """Return the routes of the configuration.

        :raises DocumentError: if the document has another shape.
        """
        data = _read_object(value)
        try:
            accounts = data.get("tenants") or []
            routes = [_read_route(item) for item in data["routes"]]
            rank_by_account = {
                account["name"]: int(account["priority"])
                for account in accounts
                if account.get("priority") is not None
            }
            return RouteTable(
                revision=int(data["version"]),
                routes_by_host=index_routes(routes),
                services_by_name={s["name"]: self._read_service(s) for s in data["services"]},
                account_by_key={
                    key: account["name"] for account in accounts for key in account["api_keys"]
                },
                rank_by_account=rank_by_account,
                priority_levels=list_priority_levels(routes, rank_by_account),
                allowed_regions_by_account=read_regions_by_name(
                    (account["name"], account.get("allowed_regions")) for account in accounts
                ),
                needs_keys="tenants" in data and data["tenants"] is not None,
                bounds=_read_bounds(data.get("limits") or {}),
            )
        except _SHAPE_ERRORS as error:
            raise DocumentError(f"configuration: {error!r}") from error

    def _read_service(self, item: dict[str, Any]) -> ServiceSpec:
        engine = item.get("engine")
        name = str(item["name"])
        return ServiceSpec(
            name=name,
            health_path=str(item.get("health_check_path") or ""),
            max_connections=int(item.get("max_connections") or 0),
            engine=_read_engine(engine) if engine else None,
            origin=str(item.get("origin") or ""),
            cold_start_s=self._figures.read(item, "cold_start_s", of=name, maximum=MAX_COLD_S),
            cold_per_s=self._figures.read(item, "cold_per_s", of=name, maximum=MAX_COLD_PER_S),
        )

    def read_version(self, value: bytes) -> int:
        """Return the version of the weights that the operator names.

        :raises DocumentError: if the document has another shape.
        """
        return _read_count(_read_object(value), "version")

    def read_upstream(self, instance: str, value: bytes) -> UpstreamRecord:
        """Return the record of a runner.

        :raises DocumentError: if a field is missing or of another type, or a state is unknown.
        """
        if not _INSTANCE.fullmatch(instance):
            raise DocumentError("the key names no instance")
        data = _read_object(value)
        service, address, zone = (_read_text(data, name) for name in ("service", "address", "zone"))
        state = data.get("state")
        if state not in ("ready", names.DRAINING):
            raise DocumentError("the state is unknown")
        try:
            parsed_address = Address.parse(address)
            if parsed_address.port == 0:
                raise DocumentError("the address has no port")
            return UpstreamRecord(
                instance=instance,
                service=service,
                address=parsed_address,
                availability_zone=zone,
                slots=_read_count(data, "slots"),
                is_leaving=state == names.DRAINING,
                # The start of the runner, not of this entry.
                started_ms=(_read_count(data, "born") if type(data.get("born", 0.0)) is int else 0),
                version_by_model=tuple(
                    (_read_text(item, "name"), _read_count(item, "version"))
                    for item in data.get("models") or ()
                ),
                # Only model runners tell a stage or models, the latter empty while they load.
                is_engine="models" in data or "stage" in data,
                cold_remaining_ms=self._figures.read(
                    data, "cold_remaining_ms", of=instance, maximum=MAX_COLD_S * 1000
                ),
            )
        except _SHAPE_ERRORS as error:
            raise DocumentError(repr(error)[:_MAX_ERROR_CHARACTERS]) from error


def _read_object(value: bytes) -> dict[str, Any]:
    try:
        data = json.loads(value)
    except (ValueError, RecursionError) as error:
        raise DocumentError("not JSON") from error
    if not isinstance(data, dict):
        raise DocumentError("not an object")
    return data


def _read_text(data: dict[str, Any], name: str) -> str:
    value = data.get(name)
    if not isinstance(value, str) or len(value) > _MAX_TEXT_CHARACTERS:
        raise DocumentError(f"{name} is no text of at most {_MAX_TEXT_CHARACTERS} characters")
    if not value.isprintable():
        raise DocumentError(f"{name} has characters that cannot be printed")
    return value


def _read_count(data: dict[str, Any], name: str) -> int:
    value = data.get(name)
    if type(value) is not int or not 0 <= value < _COUNT_LIMIT:
        raise DocumentError(f"{name} is no count")
    return value


def _read_route(item: dict[str, Any]) -> Route:
    split = item.get("traffic_split")
    return Route(
        name=str(item.get("name", "")),
        host=str(item["hostname"]),
        prefix=str(item["prefix"]),
        kind=RouteKind(item["kind"]),
        timeout_s=_seconds(item.get("timeout_ms"), _DEFAULT_TIMEOUT_S),
        target_latency_s=_seconds(item.get("target_latency_ms"), _DEFAULT_GOAL_S),
        target_gap_s=_seconds(item.get("gap_target_ms"), 0.0),
        rank=int(item.get("priority") or 0),
        weight_by_service=(
            {part["service"]: float(part["weight"]) for part in split}
            if split
            else {item["service"]: 1.0}
        ),
        max_attempts=max(1, int(item.get("max_attempts") or 1)),
        is_public=bool(item.get("public")),
        is_resumable=bool(item.get("stream_resume")),
        # Routes of requests that carry prompts have this field set, whether sessions exist or not.
        is_generation=bool(item.get("session_affinity")),
        allowed_regions=read_regions(item.get("allowed_regions")),
    )


def _read_engine(item: dict[str, Any]) -> EngineProfile:
    usual = item.get("usual") or {}
    return EngineProfile(
        slots=int(item["slots"]),
        steps_per_pass=int(item.get("stride") or 1),
        step_s=float(item["step_ms"]) / 1000,
        step_s_per_request=float(item.get("per_seq_ms") or 0) / 1000,
        step_s_per_1k_context=float(item.get("context_per_k") or 0) / 1000,
        prefill_tokens_per_s=float(item["read_per_s"]),
        prefill_s_per_1m_pairs=float(item.get("pairs_per_m") or 0) / 1000,
        kv_capacity_tokens=int(item.get("kv_capacity_tokens") or 0),
        mean_prompt_tokens=float(usual.get("prompt") or 0),
        mean_output_tokens=float(usual.get("answer") or 0),
        chunks=int(item.get("chunks") or 0),
        chunk_bytes=int(item.get("chunk_bytes") or 0),
        models=tuple(str(model["name"]) for model in item.get("models") or ()),
    )


def _read_bounds(item: dict[str, Any]) -> CallerBounds:
    known = CallerBounds()
    return CallerBounds(
        max_header_bytes=int(item.get("max_header_bytes") or known.max_header_bytes),
        max_body_bytes=int(item.get("max_body_bytes") or known.max_body_bytes),
        header_timeout_s=_seconds(item.get("header_timeout_ms"), known.header_timeout_s),
        idle_timeout_s=_seconds(item.get("idle_timeout_ms"), known.idle_timeout_s),
    )


def _seconds(milliseconds: Any, default: float) -> float:
    return default if not milliseconds else float(milliseconds) / 1000
