"""Metrics by aioprometheus."""

from __future__ import annotations

from aioprometheus import REGISTRY, Counter, Gauge, Histogram, render

REQUESTS = Counter("sycamore_requests_total", "Requests by kind, rank and result code (0 is whole)")
ATTEMPTS = Counter("sycamore_attempts_total", "Attempts sent to upstream processes")
REFUSALS = Counter("sycamore_refusals_total", "Refusals by result code and executed")
VIOLATIONS = Counter("sycamore_invariant_violations_total", "Violations by invariant")
TABLE_REVISION = Gauge("sycamore_table_revision", "Revision of the table in force")
STORE_CALLS = Counter("sycamore_store_calls_total", "Calls to the configuration store by verb")
RUNNING = Gauge("sycamore_running", "Requests given to the engine or service")
WAITING = Gauge("sycamore_waiting", "Requests in the queue by rank")
WINDOW = Gauge("sycamore_engine_window", "Requests that the engine may be given at once")
WEIGHT_BYTES = Counter("sycamore_weight_bytes_total", "Bytes of weights by direction and peer kind")
RESENDS = Counter(
    "sycamore_resends_total", "Requests sent to another upstream, by code and service"
)
OPEN_REQUESTS = Gauge("sycamore_open_requests", "Requests of callers in progress")
UNFINISHED_REQUESTS = Counter(
    "sycamore_unfinished_requests_total",
    "Requests whose handler ended before any response, and that were then refused, by cause",
)
CLOSED_CALLER_CONNECTIONS = Counter(
    "sycamore_closed_caller_connections_total",
    "Connections of callers that were closed while they waited for a request, by reason",
)
CALLER_CONNECTIONS = Gauge("sycamore_caller_connections", "Open connections of callers")
CALLER_BYTES = Gauge(
    "sycamore_caller_bytes", "Memory that callers' requests and unread responses use, by kind"
)
ENDED_CALLER_CONNECTIONS = Counter(
    "sycamore_ended_caller_connections_total",
    "Connections of callers that a limit ended or refused, by phase and reason",
)
PORT_REFUSALS = Counter(
    "sycamore_port_refusals_total", "Connections that a port other than that of callers ended"
)
ROUTES_REVISION = Gauge("sycamore_routes_revision", "Revision of the routes in force")
WEIGHT_VERSION = Gauge("sycamore_weight_version", "Newest named version of the weights by model")
ENDED_VERSION_ANSWERS = Counter(
    "sycamore_ended_version_answers_total",
    "Streams that began on weights older than the operator's bound permits, by model",
)
LEAVING_ANSWERS = Counter(
    "sycamore_leaving_answers_total",
    "Upstreams that announced in an answer that they leave, by service",
)
UPSTREAM_HOLDS = Counter(
    "sycamore_upstream_holds_total", "Times for which upstreams asked for no requests, by service"
)
UPSTREAM_LIMITS = Counter(
    "sycamore_upstream_limits_total", "Limits that upstreams named in answers, by service"
)
EVACUATED_ZONES = Gauge("sycamore_evacuated_zones", "Availability zones that are evacuated")
COLD_STARTS = Counter(
    "sycamore_cold_starts_total", "Times at which upstreams turned cold, by service"
)
QUARANTINED_PARTS = Counter(
    "sycamore_quarantined_parts_total", "Parts of prompts quarantined for crashing engines"
)
FIRST_OUTPUT_SECONDS = Histogram(
    "sycamore_first_output_seconds",
    "Time from the caller's request to the first output by rank",
    buckets=[0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 1.4, 2.0, 4.0, 8.0, 16.0, 32.0],
)


def render_metrics(accept: str | None) -> tuple[bytes, dict[str, str]]:
    """Return the body and headers of the metrics page.

    :param accept: the ``Accept`` header of the scraper.
    """
    body, headers = render(REGISTRY, [accept or "text/plain"])
    return body, dict(headers)
