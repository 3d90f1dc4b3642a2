"""Promises that the fault soak checks from what callers and upstreams saw."""

from __future__ import annotations

import json
import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from bench.soak_callers import GIVE_UP_S, Outcome
from bench.soak_site import (
    CONFIG_S,
    CONTACT_S,
    EVACUATE_S,
    LEAVE_S,
    PRIORITY_BY_GENERATION,
    REGION_BY_ZONE,
    VERSION_S,
    Site,
    Upstream,
)
from sycamoreproxy.registry import Registry

#: Time beyond a route's limit after which a request must have its end, in seconds: the users' bound.
LATE_S = 0.5

#: Time after SIGTERM from which on a host must finish what it takes, in seconds: the users' bound.
LATE_IN_STOP_S = 3.0
#: Part of a time limit that its host's clock may have measured before its caller did, in seconds.
EARLY_S = 0.05

#: In any time of this length, in seconds, a runner gets at most this multiple of its limit, plus
#: these requests: the users' rule.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5

#: Time without a fault in which an evacuation reaches a host, also after the loss of its zone's
#: readers, in seconds.
EVACUATION_REACH_S = 3.0

Check = Callable[[Site, list[Outcome]], Iterator[str]]

#: Checks by the promise that they guard.
checks: Registry[Check] = Registry("check")


def find_violations(site: Site, outcomes: list[Outcome]) -> list[str]:
    """Return what was seen against a promise, as ``PROMISE: what``."""
    return [
        f"{name}: {what}"
        for name in checks.list_names()
        for what in checks.get(name)(site, outcomes)
    ]


def _count_runs(site: Site) -> Counter[str]:
    runs: Counter[str] = Counter()
    for upstream in (*site.upstreams, *site.retired):
        runs.update(upstream.runner.ran)
    return runs


@checks.register("answers are whole and belong to their requests")
def check_answers(site: Site, outcomes: list[Outcome]) -> Iterator[str]:
    """No success may be unsigned, changed, incomplete or another request's."""
    for seen in outcomes:
        if seen.echoed_id and seen.echoed_id != seen.request_id:
            yield f"{seen.request_id} got the answer of {seen.echoed_id}"
        if not 200 <= seen.status < 300:
            continue
        if not seen.is_signed:
            yield f"{seen.request_id} got a success that no runner signed"
        if seen.is_whole and seen.body != seen.expected_body:
            yield f"{seen.request_id} got {seen.body!r} as a whole answer"
        if seen.kind in PRIORITY_BY_GENERATION and not seen.expected_body.startswith(seen.body):
            yield f"{seen.request_id} got events out of order: {seen.body!r}"


@checks.register("non-idempotent requests run once at most")
def check_runs(site: Site, outcomes: list[Outcome]) -> Iterator[str]:
    """A post that ran twice books twice."""
    runs = _count_runs(site)
    for seen in outcomes:
        if seen.kind == "post" and runs[seen.request_id] > 1:
            yield f"{seen.request_id} ran {runs[seen.request_id]} times"


@checks.register("a refusal that says not run is true")
def check_refusals(site: Site, outcomes: list[Outcome]) -> Iterator[str]:
    """A caller repeats a request that was refused so."""
    runs = _count_runs(site)
    for seen in outcomes:
        if seen.kind == "post" and seen.status in (408, 421, 429, 503) and runs[seen.request_id]:
            yield f"{seen.request_id} was answered {seen.status} and has run"


@checks.register("only callers' requests run, for their account")
def check_requests(site: Site, outcomes: list[Outcome]) -> Iterator[str]:
    """No run without a caller, and no key beyond the entry hosts."""
    asked = {seen.request_id for seen in outcomes}
    for request_id in _count_runs(site):
        if request_id and request_id not in asked:
            yield f"{request_id} ran and was not asked for"
    for upstream in (*site.upstreams, *site.retired):
        for headers in upstream.runner.received:
            if "X-Api-Key" in headers:
                yield f"{upstream.runner.instance} received a key"
            if headers.get("Sycamoreproxy-Request-Id") and (
                headers.get("Sycamoreproxy-Tenant") != "office"
            ):
                yield f"{headers['Sycamoreproxy-Request-Id']} came without its account"


@checks.register("a request that was passed on is answered while its process lives")
def check_lost(site: Site, outcomes: list[Outcome]) -> Iterator[str]:
    """A stop, a reload or a fault of others is no reason to close a connection in silence."""
    arrived = {
        request_id
        for upstream in (*site.upstreams, *site.retired)
        for _, request_id in upstream.runner.arrived
    }
    for seen in outcomes:
        was_killed = seen.ended_at >= seen.host.killed_at.get(seen.lifetime, math.inf)
        if seen.status == 0 and seen.request_id in arrived and not was_killed:
            yield f"{seen.request_id} was passed on by {seen.host.name} and not answered"


def is_late_in_stop(seen: Outcome) -> bool:
    """Return whether a request was sent so late in a stop that its host must finish it or refuse it."""
    stopped_at = seen.host.stopped_at.get(seen.lifetime, math.inf)
    return seen.sent_at > stopped_at + LATE_IN_STOP_S


def find_upstreams(site: Site) -> dict[str, list[Upstream]]:
    """Return the upstreams that each request reached, by its id."""
    upstreams_by_id = defaultdict(list)
    for upstream in (*site.upstreams, *site.retired):
        for _, request_id in upstream.runner.arrived:
            upstreams_by_id[request_id].append(upstream)
    return upstreams_by_id


@checks.register("a request that is sent late in a stop ends whole or is refused unrun")
def check_stops(site: Site, outcomes: list[Outcome]) -> Iterator[str]:
    """Other hosts take requests then, so none need be taken here whose end is in doubt."""
    upstreams_by_id = find_upstreams(site)
    for seen in outcomes:
        if not is_late_in_stop(seen) or _has_end(seen) or seen.request_id not in upstreams_by_id:
            continue
        limit_s = seen.limit_s
        if seen.kind == "long":
            # A host reads the route's limit when it receives a request; later changes are not for it.
            limit_s = min(limit_s, site.long_timeouts.lowest_s(seen.sent_at))
        span = (seen.sent_at, seen.ended_at)
        if seen.took_s >= limit_s - EARLY_S or seen.host.pauses.had_fault(*span):
            continue
        if seen.ended_at >= seen.host.killed_at.get(seen.lifetime, math.inf):
            continue
        if any(
            part.had_fault(*span)
            for upstream in upstreams_by_id[seen.request_id]
            for part in (upstream, upstream.answer_faults)
        ):
            continue
        stopped_at = seen.host.stopped_at[seen.lifetime]
        yield (
            f"{seen.request_id} at {seen.host.name}, sent {seen.sent_at - stopped_at:.2f} s after"
            f" SIGTERM, ended {seen.took_s:.2f} s later: status {seen.status}, {seen.body[-160:]!r}"
        )


def _has_end(seen: Outcome) -> bool:
    """Return whether a request has a whole answer or a refusal that says it was not executed."""
    if not seen.is_whole or seen.is_signed:
        return seen.is_whole
    error = json.loads(seen.body)["error"]
    return bool(error["executed"] == "no")


@checks.register("a request on a kept connection within the idle limit gets an answer")
def check_idle_limit(site: Site, outcomes: list[Outcome]) -> Iterator[str]:
    """A caller can't know that a connection will be closed, nor repeat what may have run."""
    for seen in outcomes:
        if seen.status or seen.idle_since is None:
            continue
        limits, host = site.idle_limits, seen.host
        if not limits.permit_reuse(seen.idle_since, seen.sent_at) or (
            seen.took_s >= seen.limit_s + GIVE_UP_S
        ):
            continue
        ends_at = (host.killed_at, host.stopped_at)
        if any(seen.ended_at >= ended_at.get(seen.lifetime, math.inf) for ended_at in ends_at):
            continue
        # A host that was disturbed may have heard of a change late; later faults excuse nothing.
        if host.had_fault(seen.idle_since, max(seen.idle_since, limits.applied_by(seen.sent_at))):
            continue
        idle_s = seen.sent_at - seen.idle_since
        what = "was sent on a closed connection" if seen.was_closed else "got no answer"
        yield f"{seen.request_id} at {host.name} {what} after {idle_s:.2f} s without a request"


@checks.register("every request ends by its route's time limit")
def check_time_limits(site: Site, outcomes: list[Outcome]) -> Iterator[str]:
    """A caller that hangs can't turn elsewhere."""
    for seen in outcomes:
        if seen.took_s > seen.limit_s + LATE_S and not _had_fault(seen):
            yield f"{seen.request_id} at {seen.host.name} took {seen.took_s:.2f} s"


def _had_fault(seen: Outcome) -> bool:
    return seen.host.had_fault(seen.sent_at, seen.ended_at)


@checks.register("no process goes back to an older configuration")
def check_regress(site: Site, outcomes: list[Outcome]) -> Iterator[str]:
    """Once a process has served a new route it must know that route."""
    newest: dict[tuple[str, int], int] = defaultdict(int)
    for seen in sorted(outcomes, key=lambda seen: seen.sent_at):
        if not seen.kind.startswith("new-"):
            continue
        version = int(seen.kind.removeprefix("new-"))
        life = (seen.host.name, seen.lifetime)
        if seen.status == 200:
            newest[life] = max(newest[life], version)
        elif seen.status == 404 and version <= newest[life]:
            yield f"{seen.request_id}: {seen.host.name} forgot route {seen.kind}"


@checks.register("configurations are in force in time")
def check_configurations(site: Site, outcomes: list[Outcome]) -> Iterator[str]:
    """Hosts that nothing disturbs serve a new route within the bound."""
    for seen in outcomes:
        if not seen.kind.startswith("new-") or seen.status != 404:
            continue
        since = seen.sent_at - site.acknowledged_at[int(seen.kind.removeprefix("new-"))]
        if since > CONFIG_S and not _had_fault(seen):
            yield f"{seen.request_id}: {seen.host.name} refused {seen.kind} {since:.2f} s after its ack"


@checks.register("a runner that leaves gets nothing after the bound")
def check_draining(site: Site, outcomes: list[Outcome]) -> Iterator[str]:
    """The operator takes the runner away after that time."""
    by_id = {seen.request_id: seen for seen in outcomes}
    for upstream in (*site.upstreams, *site.retired):
        if not upstream.draining_since:
            continue
        for at, request_id in upstream.runner.arrived:
            seen = by_id.get(request_id)
            if seen is None or _had_fault(seen) or at <= upstream.draining_since + LEAVE_S:
                continue
            yield f"{request_id} reached {upstream.runner.instance} {at - upstream.draining_since:.2f} s"


@checks.register("a runner that says in an answer that it leaves gets nothing after the bound")
def check_leaving_by_answers(site: Site, outcomes: list[Outcome]) -> Iterator[str]:
    """The store may not know that it leaves."""
    by_id = {seen.request_id: seen for seen in outcomes}
    for upstream in (*site.upstreams, *site.retired):
        arrived = [
            (at, by_id[request_id])
            for at, request_id in upstream.runner.arrived
            if at > upstream.says_leaving_since and request_id in by_id
        ]
        told_at: dict[tuple[str, int], float] = {}
        for _, seen in arrived:
            if seen.status:
                life = (seen.host.name, seen.lifetime)
                told_at[life] = min(seen.ended_at, told_at.get(life, math.inf))
        for at, seen in arrived:
            told = told_at.get((seen.host.name, seen.lifetime), math.inf)
            if seen.sent_at > told + LEAVE_S and not _had_fault(seen):
                yield f"{seen.request_id} reached {upstream.runner.instance} {at - told:.2f} s"


@checks.register("an evacuated zone gets nothing after the bound")
def check_evacuations(site: Site, outcomes: list[Outcome]) -> Iterator[str]:
    """A host that had no fault for a while since the acknowledgement must know of the evacuation."""
    by_id = {seen.request_id: seen for seen in outcomes}
    for zone, since, until in site.evacuations:
        for upstream in (*site.upstreams, *site.retired):
            for at, request_id in upstream.runner.arrived:
                seen = by_id.get(request_id)
                if upstream.zone != zone or seen is None or not since + EVACUATE_S < at < until:
                    continue
                is_calm = seen.host.longest_calm_s(since, at) > EVACUATION_REACH_S
                if is_calm and not upstream.had_fault(seen.sent_at, at):
                    yield f"{request_id} of {seen.host.name} reached {zone} {at - since:.2f} s"


@checks.register("a request reaches upstreams of its allowed regions only")
def check_regions(site: Site, outcomes: list[Outcome]) -> Iterator[str]:
    """The configuration of its acceptance binds, also when a newer one names no region."""
    by_id = {seen.request_id: seen for seen in outcomes}
    for regions, since, until in site.region_spans:
        for upstream in (*site.upstreams, *site.retired):
            for _, request_id in upstream.runner.arrived:
                seen = by_id.get(request_id)
                if seen is None or seen.kind != "read" or not since < seen.sent_at < until:
                    continue
                is_calm = seen.host.longest_calm_s(since, seen.sent_at) > CONFIG_S
                if is_calm and REGION_BY_ZONE[upstream.zone] not in regions:
                    yield f"{request_id} of {seen.host.name} reached {upstream.zone}"


@checks.register("a runner gets no more requests than the limit that it names")
def check_limits(site: Site, outcomes: list[Outcome]) -> Iterator[str]:
    """The limit is one for all entry hosts together."""
    by_id = {seen.request_id: seen for seen in outcomes}
    for upstream in (*site.upstreams, *site.retired):
        for since, until, limit in upstream.limits:
            arrived = [
                at
                for at, request_id in upstream.runner.arrived
                if since + CONTACT_S <= at < until
                and request_id in by_id
                and not _had_fault(by_id[request_id])
            ]
            allowed = LIMIT_FACTOR * limit * LIMIT_WINDOW_S + LIMIT_EXTRA
            for start in arrived:
                count = sum(start <= at < start + LIMIT_WINDOW_S for at in arrived)
                if count > allowed:
                    yield f"{upstream.runner.instance} got {count} of {allowed:.0f} requests"
                    break


@checks.register("engines load whole versions only")
def check_weights(site: Site, outcomes: list[Outcome]) -> Iterator[str]:
    """A missing, spoilt or foreign chunk makes wrong answers."""
    for upstream in (*site.upstreams, *site.retired):
        for version in upstream.runner.broken_loads:
            yield f"{upstream.runner.instance} was ordered to load {version} from bad chunks"


@checks.register("no request begins on an ended version")
def check_versions(site: Site, outcomes: list[Outcome]) -> Iterator[str]:
    """Operators name a version to have the older ones out of use by the bound."""
    by_id = {seen.request_id: seen for seen in outcomes}
    for upstream in (*site.upstreams, *site.retired):
        if upstream.service != "model":
            continue
        for at, request_id, version in upstream.runner.begun:
            named_at = min((t for n, t in site.named_at.items() if n > version), default=math.inf)
            # The bound counts from the acknowledgement, in one stretch without a fault of the store.
            if site.store_spans.longest_calm_s(named_at, at) <= VERSION_S:
                continue
            seen = by_id.get(request_id)
            if seen is None or seen.host.had_fault(at, at) or upstream.had_fault(at, at):
                continue
            yield (
                f"{request_id} of {seen.host.name} began on version {version} at"
                f" {upstream.runner.instance} {at - named_at:.2f} s after a newer one's ack,"
                f" {at - seen.sent_at:.2f} s after its caller sent it"
            )


@checks.register("processes end only when told to, and then in order")
def check_exits(site: Site, outcomes: list[Outcome]) -> Iterator[str]:
    """A process that ends by itself takes its requests with it."""
    for host in site.hosts:
        for what in host.bad_exits:
            yield f"{host.name}: {what}"
