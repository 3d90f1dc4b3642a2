"""Routes, services and API keys of one configuration revision, and the matching of requests."""

from __future__ import annotations

import bisect
import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """Retry class of the requests of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineProfile:
    """Published performance and capacity of a service's model engines.

    :param slots: maximum requests in one batch.
    :param steps_per_pass: decode steps between two events of a stream.
    :param step_s: duration of a decode step with an empty batch, in seconds.
    :param step_s_per_request: added duration of a step for each decoding request, in seconds.
    :param step_s_per_1k_context: added duration of a step for each 1,000 tokens of context, in
        seconds.
    :param prefill_tokens_per_s: prompt tokens processed in a second.
    :param prefill_s_per_1m_pairs: added prefill time for each million pairs of prompt tokens, in
        seconds.
    :param kv_capacity_tokens: capacity of the KV cache in tokens.
    :param mean_prompt_tokens: mean prompt length in tokens.
    :param mean_output_tokens: mean output length in tokens.
    :param chunks: number of chunks of one version of the weights; 0 if weights are not delivered
        in chunks.
    :param chunk_bytes: size of a chunk in bytes.
    :param models: names of the models that the engines serve.
    """

    slots: int
    steps_per_pass: int
    step_s: float
    step_s_per_request: float
    step_s_per_1k_context: float
    prefill_tokens_per_s: float
    prefill_s_per_1m_pairs: float
    kv_capacity_tokens: int
    mean_prompt_tokens: float
    mean_output_tokens: float
    chunks: int
    chunk_bytes: int
    models: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSpec:
    """A service to which routes send requests.

    :param health_path: path of the health check.
    :param max_connections: connections that one upstream accepts from all callers together.
    :param engine: profile of the model engines; None for other services.
    :param origin: ``IP:PORT`` of the origin server of model weights, empty for other services.
    :param cold_start_s: time after a start for which an upstream is cold, in seconds; 0 for none.
    :param cold_per_s: requests that a cold upstream takes in a second; 0 for no limit.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: EngineProfile | None = None
    origin: str = ""
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Requests of one host name and path prefix, and how they are handled.

    :param kind: retry class of the requests.
    :param timeout_s: maximum duration of a request set by the operator, in seconds.
    :param target_latency_s: target time to the response, or to the first event of a stream, in
        seconds.
    :param target_gap_s: target for the longest gap between events of a stream, in seconds.
    :param rank: priority; 0 is the most urgent.
    :param weight_by_service: relative traffic weight of each service.
    :param max_attempts: maximum number of upstreams to which one request is sent.
    :param is_public: whether requests are accepted without an API key.
    :param is_resumable: whether an interrupted stream may be resumed at another upstream.
    :param is_generation: whether requests carry a prompt for a model engine.
    :param allowed_regions: regions whose upstreams may serve the requests; empty for any.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    target_gap_s: float = 0.0
    rank: int = 0
    weight_by_service: Mapping[str, float]
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    is_generation: bool = False
    allowed_regions: frozenset[str] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Whether a request may be executed more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT

    @property
    def caller_timeout_s(self) -> float:
        """Time without an event after which callers abandon a stream, in seconds.

        The platform's clients use the longest of two seconds, four times the target latency and
        eight times the target gap. For routes that do not stream, this is their timeout.
        """
        if self.kind is not RouteKind.STREAMING:
            return self.timeout_s
        return max(2.0, 4 * self.target_latency_s, 8 * self.target_gap_s)

    def choose_service(self, request_id: str) -> str:
        """Choose a service by weight; a request id always gets the same service."""
        services = list(self.weight_by_service.items())
        if len(services) == 1:
            return services[0][0]
        total_weight = sum(weight for _, weight in services)
        point = (zlib.crc32(request_id.encode()) % 10_000) / 10_000 * total_weight
        for name, weight in services:
            point -= weight
            if point < 0:
                return name
        return services[-1][0]


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerBounds:
    """Size limits in bytes and timeouts in seconds for callers' connections."""

    max_header_bytes: int = 65_536
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteTable:
    """All routes, services and API keys of one configuration revision.

    :param revision: increases with each change; 0 means that no configuration is known.
    :param routes_by_host: routes of each host name in lower case, longest prefix first.
    :param account_by_key: client account of each API key.
    :param rank_by_account: rank of each client account, which takes precedence over the route's.
    :param allowed_regions_by_account: regions whose upstreams may serve an account's requests; an
        account that is absent or has an empty set may use any.
    :param needs_keys: whether routes that are not public require an API key.
    :param priority_levels: pairs of account rank and route rank in use, most urgent first.
    """

    revision: int = 0
    routes_by_host: Mapping[str, tuple[Route, ...]] = field(default_factory=dict)
    services_by_name: Mapping[str, ServiceSpec] = field(default_factory=dict)
    account_by_key: Mapping[str, str] = field(default_factory=dict)
    rank_by_account: Mapping[str, int] = field(default_factory=dict)
    allowed_regions_by_account: Mapping[str, frozenset[str]] = field(default_factory=dict)
    needs_keys: bool = False
    bounds: CallerBounds = field(default_factory=CallerBounds)
    priority_levels: tuple[tuple[int, int], ...] = ()

    def find_priority_level(self, account: str, route: Route) -> int:
        """Return the priority level of a request; 0 is the most urgent.

        Among accounts of the same rank, the rank of the route decides.
        """
        rank_pair = (self.rank_by_account.get(account, 0), route.rank)
        return bisect.bisect_left(self.priority_levels, rank_pair)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that the path starts with, or None.

        :param host: host name of the request, with or without a port.
        :param path: path with or without a query.
        """
        path = path.partition("?")[0]
        routes = self.routes_by_host.get(host.partition(":")[0].lower(), ())
        return next((route for route in routes if path.startswith(route.prefix)), None)


def list_priority_levels(
    routes: list[Route], rank_by_account: Mapping[str, int]
) -> tuple[tuple[int, int], ...]:
    """Return the pairs of account rank and route rank of generation requests, most urgent first."""
    account_ranks = set(rank_by_account.values()) or {0}
    route_ranks = {route.rank for route in routes if route.is_generation} or {0}
    return tuple(
        sorted(
            (account_rank, route_rank)
            for account_rank in account_ranks
            for route_rank in route_ranks
        )
    )


def index_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Group routes by lower-case host name, longest prefix first."""
    routes_by_host: dict[str, list[Route]] = {}
    for route in routes:
        routes_by_host.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(host_routes, key=lambda route: -len(route.prefix)))
        for host, host_routes in routes_by_host.items()
    }
