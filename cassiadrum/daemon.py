"""Entry point of `cassiadrumd`, which runs one role."""

import argparse
import asyncio
import json
import logging
import signal
import sys
from pathlib import Path

from cassiadrum import __version__
from cassiadrum.links import BadCertificate
from cassiadrum.logs import configure_logging
from cassiadrum.roles import Daemon, build_daemon
from cassiadrum.settings import Settings, SettingsError, load_settings

__all__ = ["drain", "main", "run"]

logger = logging.getLogger(__name__)

EXIT_BAD_INPUT = 2
EXIT_DRAIN_LIMIT = 3
# Maximum number of requests described in one log line.
MAX_DESCRIBED_REQUESTS = 50


def main() -> None:
    """Run the daemon until SIGTERM or SIGINT and exit with its code."""
    parser = argparse.ArgumentParser(prog="cassiadrumd", description="Run one role of cassiadrum.")
    parser.add_argument("--settings", type=Path, required=True, help="TOML file")
    parser.add_argument("--check", action="store_true", help="validate the settings and exit")
    options = parser.parse_args()
    try:
        cfg = load_settings(options.settings)
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    if options.check:
        print(f"{options.settings}: valid settings of the {cfg.role} {cfg.instance}")
        return
    configure_logging(cfg.log.format, cfg.log.level, cfg.instance)
    # The library logs each connection at INFO; events and status already report connections.
    logging.getLogger("websockets").setLevel(logging.WARNING)
    sys.exit(asyncio.run(run(cfg)))


async def run(cfg: Settings) -> int:
    """Start the daemon, drain it at SIGTERM or SIGINT and return the exit code."""
    try:
        daemon = build_daemon(cfg)
    except BadCertificate as exc:
        logger.error("%s", exc)
        return EXIT_BAD_INPUT
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, _on_signal, daemon, stopping)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload_tls)
    await daemon.start()
    _log_start(cfg, daemon)
    # Programs that start the daemon with port 0 read its addresses from this line.
    print(json.dumps({"instance": cfg.instance, **daemon.addresses}), flush=True)
    await stopping.wait()
    try:
        return await drain(daemon, cfg.limits.drain_limit_s)
    finally:
        await daemon.close()


async def drain(daemon: Daemon, limit_s: float) -> int:
    """Wait at most `limit_s` seconds until the daemon is drained; return the exit code."""
    try:
        async with asyncio.timeout(limit_s):
            await daemon.wait_drained()
    except TimeoutError:
        logger.warning("drain limit reached with %d requests in flight", daemon.in_flight())
        await daemon.refuse_and_wait()
        return EXIT_DRAIN_LIMIT
    return 0


def _log_start(cfg: Settings, daemon: Daemon) -> None:
    fields = {"role": cfg.role, "zone": cfg.zone, "release": __version__, **daemon.addresses}
    text = " ".join(f"{key}={value}" for key, value in fields.items())
    logger.info("started %s", text, extra=fields)


def _on_signal(daemon: Daemon, stopping: asyncio.Event) -> None:
    if stopping.is_set():
        lines = daemon.describe_in_flight()
        described = "; ".join(lines[:MAX_DESCRIBED_REQUESTS])
        logger.info("still waiting for %d requests in flight: %s", len(lines), described)
        return
    logger.info("draining, %d requests in flight", daemon.in_flight())
    daemon.begin_drain()
    stopping.set()


if __name__ == "__main__":
    main()
