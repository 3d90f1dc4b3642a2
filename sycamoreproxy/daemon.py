"""The daemon ``sycamored``."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from sycamoreproxy.routed_settings import RoutedSettings, is_routed, load_routed_settings
from sycamoreproxy.settings_reader import SettingsError

if TYPE_CHECKING:
    from sycamoreproxy.settings import Settings

#: Exit status for settings that can't be used.
EXIT_SETTINGS = 2
#: Time between two looks at the settings file, in seconds.
SETTINGS_PERIOD_S = 2.0


def main(arguments: list[str] | None = None) -> int:
    """Run one process of the system until it is told to stop.

    :returns: the exit status: 0 after a graceful stop, 2 for settings that can't be used.
    """
    parser = argparse.ArgumentParser(
        prog="sycamored", description="Runs an entry host or the process beside an upstream."
    )
    parser.add_argument("--config", type=Path, required=True, help="settings file in TOML")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    options = parser.parse_args(arguments)
    if is_routed(options.config):
        return _run_routed(options.config, check_only=options.check)
    from sycamoreproxy.settings import load_settings

    try:
        settings = load_settings(options.config)
    except SettingsError as error:
        print(f"sycamored: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    if options.check:
        print(f"{options.config}: valid")
        return 0
    asyncio.run(run(settings))
    return 0


def _run_routed(path: Path, *, check_only: bool) -> int:
    """Run or check a process of a routed deployment."""
    # Delivered once its handler is there; the default action would end a process that starts.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        settings = load_routed_settings(path)
    except SettingsError as error:
        print(f"sycamored: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    if check_only:
        print(f"{path}: valid")
        return 0
    asyncio.run(run_routed(path, settings))
    return 0


async def run_routed(path: Path, settings: RoutedSettings) -> None:
    """Run a process of a routed deployment until SIGTERM or SIGINT, then drain it.

    SIGHUP reads the settings file again; a file that can't be used changes nothing.
    """
    from sycamoreproxy._resolver import use_number_resolver
    from sycamoreproxy.clock import SystemClock
    from sycamoreproxy.logs import LineWriter, configure_logs, get_logger
    from sycamoreproxy.routed_composition import build_routed_process

    configure_logs(
        format=settings.log.format,
        level=settings.log.level,
        output=LineWriter(sys.stdout.fileno(), clock=SystemClock()),
        host=settings.process.host,
    )
    log = get_logger("daemon")
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    use_number_resolver()
    process = build_routed_process(settings)

    def reload() -> None:
        try:
            process.reload(load_routed_settings(path))
        except SettingsError as error:
            log.warning("settings not reloaded", error=str(error))
        else:
            log.info("settings reloaded")

    loop.add_signal_handler(signal.SIGHUP, reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    await process.start()
    follower = asyncio.create_task(_follow_settings(path, reload))
    log.info("started", role=settings.process.role)
    await stop.wait()
    follower.cancel()
    log.info("draining")
    await process.drain()
    await process.close()
    log.info("stopped")
    _block_stop_signals()


async def _follow_settings(path: Path, reload: Callable[[], None]) -> None:
    """Call ``reload`` when the settings file has changed; not every change comes with SIGHUP."""
    last = _read_bytes(path)
    while True:
        await asyncio.sleep(SETTINGS_PERIOD_S)
        current = _read_bytes(path)
        if current and current != last:
            last = current
            reload()


def _block_stop_signals() -> None:
    """Keep further signals from ending the process with another status.

    The event loop restores their default action when it closes.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT, signal.SIGHUP})


def _read_bytes(path: Path) -> bytes:
    """Return the content of a file; empty while it is being replaced."""
    try:
        return path.read_bytes()
    except OSError:
        return b""


async def run(settings: Settings) -> None:
    """Run the process of these settings until SIGTERM, SIGINT or SIGHUP, then drain it.

    The settings are not read again, so SIGHUP has the effect of SIGTERM; its default action would
    cut the requests in progress.
    """
    from sycamoreproxy._resolver import use_number_resolver
    from sycamoreproxy.composition import build_process
    from sycamoreproxy.logs import configure_logs, get_logger

    configure_logs(format=settings.log.format, level=settings.log.level, host=settings.process.host)
    log = get_logger("daemon")
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        # A second signal sets the same event again and so has no effect.
        loop.add_signal_handler(number, stop.set)
    use_number_resolver()
    process = build_process(settings)
    await process.start()
    log.info("started", role=settings.process.role, peer=str(settings.listen.peer))
    await stop.wait()
    log.info("draining")
    await process.drain()
    await process.close()
    log.info("stopped")
    _block_stop_signals()


if __name__ == "__main__":
    sys.exit(main())
