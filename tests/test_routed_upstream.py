"""Guards the load reports of the process beside an engine."""

from __future__ import annotations

from types import SimpleNamespace

from sycamoreproxy.messages import EngineLoad
from sycamoreproxy.routed_upstream import FAR_REPORT_PERIOD_S, UNCHANGED_PERIOD_S, _ZoneReports


class _Hub:
    def __init__(self) -> None:
        self.peers = [
            SimpleNamespace(hello=SimpleNamespace(role="entry", availability_zone=zone))
            for zone in ("z1", "z1", "z2")
        ]
        self.zones: list[str] = []

    def broadcast(self, message: object, *, role: str, availability_zone: str) -> None:
        assert role == "entry"
        self.zones.append(availability_zone)


def make_load(running: int) -> EngineLoad:
    return EngineLoad(address="a", running=running, waiting=0, pace=1.0, is_loading=False)


def test_other_zones_get_fewer_reports() -> None:
    """Links between regions are narrow and priced."""
    hub = _Hub()
    reports = _ZoneReports(hub, own_zone="z1")  # type: ignore[arg-type]
    for step in range(12):
        reports.send(make_load(step), now=step * 0.05)
    assert hub.zones.count("z1") == 12
    assert hub.zones.count("z2") == 12 * 0.05 // FAR_REPORT_PERIOD_S


def test_unchanged_load_is_repeated_before_it_counts_as_lost() -> None:
    hub = _Hub()
    reports = _ZoneReports(hub, own_zone="z1")  # type: ignore[arg-type]
    for step in range(13):
        reports.send(make_load(1), now=step * 0.05)
    assert hub.zones.count("z1") == hub.zones.count("z2") == 1 + 0.6 // UNCHANGED_PERIOD_S
