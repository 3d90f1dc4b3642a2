"""The daemon ``sycamored``."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
from pathlib import Path

from sycamoreproxy.settings import Settings, SettingsError, load_settings

#: Exit status for settings that can't be used.
EXIT_SETTINGS = 2


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


async def run(settings: Settings) -> None:
    """Run the process of these settings until SIGTERM or SIGINT, then drain it."""
    from sycamoreproxy._resolver import use_number_resolver
    from sycamoreproxy.composition import build_process
    from sycamoreproxy.logs import configure_logs, get_logger

    configure_logs(format=settings.log.format, level=settings.log.level, host=settings.process.host)
    log = get_logger("daemon")
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
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


if __name__ == "__main__":
    sys.exit(main())
