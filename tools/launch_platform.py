"""Starts the routed deployment before the platform's stand-in, and ends it again."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

from bench.soak_site import CALLER_PORT, KEY, MODEL, STATE_PORT, Site
from tools.launch import STOP_SIGNALS, block_stop_signals

#: Hosts of the example: two entry hosts before four engines in two zones.
ENTRIES, ENGINES = 2, 4
#: Longest wait for the entry hosts, in seconds.
READY_S = 30.0

_CURL = """curl --no-buffer -H 'Host: office.example' -H 'X-Api-Key: {key}' \\
  -H 'Sycamoreproxy-Request-Id: try-1' -H 'Sycamoreproxy-Deadline-Ms: 2000' \\
  -H 'Sycamoreproxy-Model: {model}' -H 'Sycamoreproxy-Token-Count: 100,25' \\
  -d prompt http://{ip}:{port}/ask/x"""


def run_platform(directory: Path) -> int:
    """Run the deployment until SIGINT or SIGTERM.

    :param directory: where settings and logs are written.
    :returns: the exit status: 1 if an entry host does not accept connections in time.
    """
    directory.mkdir(parents=True, exist_ok=True)
    return asyncio.run(_run(directory))


async def _run(directory: Path) -> int:
    stopped = asyncio.Event()
    for number in STOP_SIGNALS:
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    site = Site(directory=directory, entries=ENTRIES, engines=ENGINES)
    start = asyncio.create_task(_start(site))
    stop = asyncio.create_task(stopped.wait())
    try:
        await asyncio.wait({start, stop}, return_when=asyncio.FIRST_COMPLETED)
        if not start.done():
            return 0
        if not start.result():
            print(f"launch: an entry host is not ready; logs are in {directory}")
            return 1
        for host in site.hosts:
            print(f"{host.name}: state http://{host.ip}:{STATE_PORT}/, log {host.log}")
        ip = site.entries[0].ip
        print(_CURL.format(key=KEY, model=MODEL, ip=ip, port=CALLER_PORT))
        print("Ctrl-C ends it.", flush=True)
        await stop
    finally:
        start.cancel()
        await asyncio.wait({start})
        with contextlib.suppress(asyncio.CancelledError):
            await site.close()
        block_stop_signals()
    return 0


async def _start(site: Site) -> bool:
    """Start the deployment; return whether its entry hosts are ready."""
    await site.start()
    return all([await site.wait_ready(host, within_s=READY_S) for host in site.entries])
