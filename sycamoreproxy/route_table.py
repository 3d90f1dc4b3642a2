"""Routes, services and callers' keys of one configuration revision, and how a request is matched."""

from __future__ import annotations

import bisect
import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineProfile:
    """Published timings and sizes of a service's engines.

    :param slots: requests in one batch.
    :param steps_per_pass: decode steps between two events of a stream.
    :param step_s: duration of a decode step with an empty batch, in seconds.
    :param step_s_per_request: added to a step for each request that writes, in seconds.
    :param step_s_per_1k_context: added to a step for 1,000 tokens of context, in seconds.
    :param prefill_tokens_per_s: prompt tokens read in a second.
    :param prefill_s_per_1m_pairs: added for a million pairs of prompt tokens, in seconds.
    :param kv_capacity_tokens: tokens that the KV cache holds.
    :param mean_prompt_tokens: mean prompt length.
    :param mean_output_tokens: mean answer length.
    :param chunks: chunks of one version of the weights; 0 if weights are not delivered in chunks.
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
    """A service that routes lead to.

    :param max_connections: connections that one upstream accepts from all callers.
    :param engine: set for services of model engines.
    :param origin: ``IP:PORT`` of the origin of weights, empty for other services.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: EngineProfile | None = None
    origin: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """One route.

    :param kind: what may be repeated.
    :param timeout_s: longest time that the operator lets a request wait, in seconds.
    :param target_latency_s: time to the answer, or to the first event of a stream, in seconds.
    :param target_gap_s: longest pause between events of a stream that is still on time, in seconds.
    :param rank: 0 is the most urgent.
    :param weight_by_service: where requests go, by relative weight.
    :param max_attempts: upstreams that one request may be sent to.
    :param is_public: whether no key is needed.
    :param is_resumable: whether a stream may go on at another upstream.
    :param is_generation: whether requests carry a prompt for a model engine.
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

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT

    @property
    def caller_timeout_s(self) -> float:
        """Time without an event after which callers leave a stream, in seconds.

        The platform's clients wait for the longest of two seconds, four times the goal and eight
        times the longest pause.
        """
        if self.kind is not RouteKind.STREAMING:
            return self.timeout_s
        return max(2.0, 4 * self.target_latency_s, 8 * self.target_gap_s)

    def choose_service(self, request_id: str) -> str:
        """Return the service of a request; the same id always leads to the same service."""
        services = list(self.weight_by_service.items())
        if len(services) == 1:
            return services[0][0]
        total = sum(weight for _, weight in services)
        point = (zlib.crc32(request_id.encode()) % 10_000) / 10_000 * total
        for name, weight in services:
            point -= weight
            if point < 0:
                return name
        return services[-1][0]


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerBounds:
    """Bounds on what a caller may send, and how long it may take or stay idle (seconds)."""

    max_header_bytes: int = 65_536
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteTable:
    """All routes, services and keys of one revision.

    :param revision: rises with each change; 0 means that no configuration is known.
    :param routes_by_host: for each host name, routes by falling length of the prefix.
    :param account_by_key: client account that holds a key.
    :param rank_by_account: rank of an account, which goes before the route's.
    :param priority_levels: pairs of account rank and route rank in use, the most urgent first.
    """

    revision: int = 0
    routes_by_host: Mapping[str, tuple[Route, ...]] = field(default_factory=dict)
    services_by_name: Mapping[str, ServiceSpec] = field(default_factory=dict)
    account_by_key: Mapping[str, str] = field(default_factory=dict)
    rank_by_account: Mapping[str, int] = field(default_factory=dict)
    needs_keys: bool = False
    bounds: CallerBounds = field(default_factory=CallerBounds)
    priority_levels: tuple[tuple[int, int], ...] = ()

    def find_priority_level(self, account: str, route: Route) -> int:
        """Return the place of a request in the order of urgency, 0 for the first.

        Accounts of the same rank are told apart by the route's rank.
        """
        pair = (self.rank_by_account.get(account, 0), route.rank)
        return bisect.bisect_left(self.priority_levels, pair)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path.

        :param host: host name of the request, with or without a port.
        :param path: path with or without a query.
        """
        path = path.partition("?")[0]
        routes = self.routes_by_host.get(host.partition(":")[0].lower(), ())
        return next((route for route in routes if path.startswith(route.prefix)), None)


def list_priority_levels(
    routes: list[Route], rank_by_account: Mapping[str, int]
) -> tuple[tuple[int, int], ...]:
    """Return the pairs of account rank and route rank that generations may have, in order."""
    account_ranks = set(rank_by_account.values()) or {0}
    route_ranks = {route.rank for route in routes if route.is_generation} or {0}
    return tuple(sorted((first, second) for first in account_ranks for second in route_ranks))


def index_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Return routes by lower-case host name, longest prefix first."""
    found: dict[str, list[Route]] = {}
    for route in routes:
        found.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(items, key=lambda route: -len(route.prefix)))
        for host, items in found.items()
    }
