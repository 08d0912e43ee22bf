"""An in-process site that all generated examples of a test class share."""

import asyncio
import logging
from collections.abc import Coroutine, Iterator
from pathlib import Path
from typing import Any, TypeVar

import pytest

from cassiadrum.sites import LocalSite
from cassiadrum.tests.harness import Answer, call

EXAMPLES = Path(__file__).parents[3] / "examples"
SERVICES = ("sprachdienst", "permit-register")
EXAMPLE_TIMEOUT_S = 10.0
T = TypeVar("T")


class ErrorRecorder(logging.Handler):
    """Collects log records of level ERROR, which report unexpected exceptions."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.messages: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Store the formatted message with its traceback."""
        self.messages.append(logging.Formatter().format(record))


class FuzzSite:
    """Runs coroutines against a local site and fails if the site logs an unexpected error."""

    def __init__(self) -> None:
        self._runner = asyncio.Runner()
        self._error_recorder = ErrorRecorder()
        for name in ("cassiadrum", "asyncio"):
            logging.getLogger(name).addHandler(self._error_recorder)
        texts = [(EXAMPLES / f"{name}.toml").read_text() for name in SERVICES]
        self.site = LocalSite(texts, entries=1, step_s=0.001)
        self._runner.run(self.site.start())

    def run(self, coroutine: Coroutine[Any, Any, T], *, errors_expected: bool = False) -> T:
        """Run one example and return its result.

        Raises TimeoutError after EXAMPLE_TIMEOUT_S, and AssertionError if an error was logged,
        unless `errors_expected`.
        """

        async def run_with_timeout() -> T:
            async with asyncio.timeout(EXAMPLE_TIMEOUT_S):
                return await coroutine

        result = self._runner.run(run_with_timeout())
        if errors_expected:
            self._error_recorder.messages.clear()
        assert self._error_recorder.messages == []
        return result

    def assert_services_respond(self) -> None:
        """Assert that each service answers a valid request with status 200."""

        async def request_each_service() -> list[Answer]:
            address = self.site.entry_address()
            body = b'{"prompt": "yoke"}'
            path = "/services/sprachdienst/v1/completions"
            return [
                await call(address, "POST", path, {}, body),
                await call(address, "GET", "/services/permit-register/permits/7"),
            ]

        answers = self.run(request_each_service())
        assert [answer.status for answer in answers] == [200, 200], answers

    def close(self) -> None:
        """Stop the site and close the event loop."""
        for name in ("cassiadrum", "asyncio"):
            logging.getLogger(name).removeHandler(self._error_recorder)
        self._runner.run(self.site.drain())
        self._runner.run(self.site.close())
        self._runner.close()


@pytest.fixture(scope="class")
def fuzz_site() -> Iterator[FuzzSite]:
    """Run one site for all examples of a test class."""
    site = FuzzSite()
    yield site
    site.close()
