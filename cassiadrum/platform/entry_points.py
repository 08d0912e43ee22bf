"""Entry point of a gateway process on the platform."""

import argparse
import asyncio
import logging
import sys

from cassiadrum.logs import configure_logging
from cassiadrum.platform.errors import BadSettings, StartFailed
from cassiadrum.platform.node_settings import settings_path
from cassiadrum.platform.processes import GatewayProcess

__all__ = ["main"]

logger = logging.getLogger(__name__)

EXIT_BAD_INPUT = 2
EXIT_NOT_STARTED = 4
# Log lines that are buffered while the reader of standard output is slow.
LOG_QUEUE = 10_000


def main() -> None:
    """Run a gateway process until it receives SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="cassiadrum.platform", description=main.__doc__)
    parser.add_argument("--metrics-port", type=int, help="serve /metrics on this port")
    options = parser.parse_args()
    try:
        process = GatewayProcess(settings_path(), options.metrics_port)
    except BadSettings as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    configure_logging("json", "INFO", process.instance, sys.stdout, queue_limit=LOG_QUEUE)
    try:
        asyncio.run(process.run())
    except StartFailed as exc:
        logger.error("gateway not started: %s", exc)
        sys.exit(EXIT_NOT_STARTED)
