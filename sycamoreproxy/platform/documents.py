"""Documents in the platform's store: the configuration, named weights, runners."""

from __future__ import annotations

import json
from typing import Any

from sycamoreproxy.document_source import DocumentError
from sycamoreproxy.platform import names
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


class PlatformDocuments:
    """Decodes the store's documents into the product's types."""

    prefixes = (names.VERSION_PREFIX, names.CONFIG_KEY, names.RUNNER_PREFIX)
    # A configuration holds all routes and keys; the others take some hundred bytes each. Its key is
    # the only one that begins so.
    shared_prefixes = (names.CONFIG_KEY,)
    upstream_prefixes = (names.RUNNER_PREFIX,)

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
                services_by_name={item["name"]: _read_service(item) for item in data["services"]},
                account_by_key={
                    key: account["name"] for account in accounts for key in account["api_keys"]
                },
                rank_by_account=rank_by_account,
                priority_levels=list_priority_levels(routes, rank_by_account),
                needs_keys="tenants" in data and data["tenants"] is not None,
                bounds=_read_bounds(data.get("limits") or {}),
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise DocumentError(f"configuration: {error!r}") from error

    def read_version(self, value: bytes) -> int:
        """Return the version of the weights that the operator names.

        :raises DocumentError: if the document has another shape.
        """
        version = _read_object(value).get("version")
        if type(version) is not int:
            raise DocumentError(f"version is {version!r}")
        return version

    def read_upstream(self, instance: str, value: bytes) -> UpstreamRecord:
        """Return the record of a runner.

        :raises DocumentError: if a field is missing or of another type, or a state is unknown.
        """
        data = _read_object(value)
        service, address, zone = (data.get(name) for name in ("service", "address", "zone"))
        slots, state = data.get("slots"), data.get("state")
        if not all(isinstance(item, str) for item in (service, address, zone)):
            raise DocumentError("service, address or zone is no text")
        if type(slots) is not int or state not in ("ready", names.DRAINING):
            raise DocumentError(f"slots is {slots!r}, state is {state!r}")
        try:
            born = data.get("born", 0)
            return UpstreamRecord(
                instance=instance,
                service=str(service),
                address=Address.parse(str(address)),
                availability_zone=str(zone),
                slots=slots,
                is_leaving=state == names.DRAINING,
                # The start of the runner, not of this entry.
                started_ms=born if type(born) is int else 0,
                version_by_model=tuple(
                    (str(item["name"]), int(item["version"])) for item in data.get("models") or ()
                ),
                # Only model runners tell a stage or models, the latter empty while they load.
                is_engine="models" in data or "stage" in data,
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise DocumentError(repr(error)) from error


def _read_object(value: bytes) -> dict[str, Any]:
    try:
        data = json.loads(value)
    except ValueError as error:
        raise DocumentError("not JSON") from error
    if not isinstance(data, dict):
        raise DocumentError("not an object")
    return data


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
    )


def _read_service(item: dict[str, Any]) -> ServiceSpec:
    engine = item.get("engine")
    return ServiceSpec(
        name=str(item["name"]),
        health_path=str(item.get("health_check_path") or ""),
        max_connections=int(item.get("max_connections") or 0),
        engine=_read_engine(engine) if engine else None,
        origin=str(item.get("origin") or ""),
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
