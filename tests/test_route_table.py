"""Guards against requests that get the wrong route, service or priority level."""

from __future__ import annotations

import pytest

from sycamoreproxy.route_table import (
    Route,
    RouteKind,
    RouteTable,
    index_routes,
    list_priority_levels,
)


def make_route(prefix: str, **fields: object) -> Route:
    defaults: dict[str, object] = {
        "name": prefix,
        "host": "Office.Example",
        "prefix": prefix,
        "kind": RouteKind.STREAMING,
        "timeout_s": 6.0,
        "target_latency_s": 0.4,
        "weight_by_service": {"model": 1.0},
        "is_generation": True,
    }
    return Route(**{**defaults, **fields})  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("office.example", "/a/b/c", "/a/b/"),
        ("OFFICE.example:8005", "/a/x", "/a/"),
        ("office.example", "/a/b/?q=/a/", "/a/b/"),
        ("office.example", "/a", None),
        ("office.example", "/b/", None),
        ("other.example", "/a/", None),
    ],
)
def test_match_selects_longest_prefix_of_the_host(
    host: str, path: str, expected: str | None
) -> None:
    table = RouteTable(
        revision=1, routes_by_host=index_routes([make_route("/a/"), make_route("/a/b/")])
    )
    route = table.match(host, path)
    assert (route.prefix if route else None) == expected


@pytest.mark.parametrize(
    ("kind", "is_resumable", "expected"),
    [
        (RouteKind.IDEMPOTENT, False, True),
        (RouteKind.NON_IDEMPOTENT, True, False),
        (RouteKind.STREAMING, False, False),
        (RouteKind.STREAMING, True, True),
    ],
)
def test_repeatable_follows_kind_and_resumability(
    kind: RouteKind, is_resumable: bool, expected: bool
) -> None:
    assert make_route("/", kind=kind, is_resumable=is_resumable).repeatable is expected


def test_service_choice_follows_weights_and_is_stable_per_request() -> None:
    route = make_route("/", weight_by_service={"old": 90.0, "new": 10.0})
    chosen = [route.choose_service(f"id-{number}") for number in range(2_000)]
    assert chosen == [route.choose_service(f"id-{number}") for number in range(2_000)]
    assert 100 < chosen.count("new") < 300


@pytest.mark.parametrize(
    ("ranks", "account", "rank", "expected"),
    [
        ({"a": 1, "b": 1}, "a", 0, 0),
        ({"a": 1, "b": 1}, "b", 2, 2),
        ({"a": 0, "b": 1}, "a", 2, 2),
        ({"a": 0, "b": 1}, "b", 0, 3),
    ],
)
def test_account_rank_takes_precedence_over_route_rank(
    ranks: dict[str, int], account: str, rank: int, expected: int
) -> None:
    """If all accounts have the same rank, the ranks of the routes must still take effect."""
    routes = [make_route(f"/{number}/", rank=number) for number in range(3)]
    table = RouteTable(
        revision=1, rank_by_account=ranks, priority_levels=list_priority_levels(routes, ranks)
    )
    assert table.find_priority_level(account, routes[rank]) == expected
