"""Tests of the log of gateway decisions and of the bounded log queue."""

import json
import logging
import subprocess
import sys
import time

import pytest

from cassiadrum.gateways.decision_logs import SUCCESS_BURST_LINES, DecisionLog
from cassiadrum.gateways.request_contexts import RequestContext
from cassiadrum.logs.bounded_queue_handlers import BoundedQueueHandler
from cassiadrum.tests.gateways.makers import make_call


class Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def run_request(log: DecisionLog, number: int, *, well: bool) -> None:
    ctx = RequestContext(make_call(f"r{number}"), 0.0)
    log.record(ctx, "placed", endpoint="i-0")
    log.finish(ctx, "answered" if well else "refused: overloaded", well=well)


class TestDecisionLog:
    """Guards against failed requests without log lines, and against too many lines under load.

    Lines of successful requests are rate-limited; those of failed requests must not be dropped
    with them, and the lines of concurrent requests must not be interleaved.
    """

    def test_failed_requests_are_logged_under_load(self, caplog: pytest.LogCaptureFixture) -> None:
        caplog.set_level(logging.INFO)
        log = DecisionLog(Clock())
        for number in range(1000):
            run_request(log, number, well=number % 10 != 0)
        written = [record.__dict__["request_id"] for record in caplog.records]
        for number in range(0, 1000, 10):
            assert written.count(f"r{number}") == 2
        assert len(written) <= SUCCESS_BURST_LINES + 200 + 2

    def test_dropped_lines_are_counted(self, caplog: pytest.LogCaptureFixture) -> None:
        caplog.set_level(logging.INFO)
        clock = Clock()
        log = DecisionLog(clock)
        for number in range(int(SUCCESS_BURST_LINES)):
            run_request(log, number, well=True)
        clock.now = 10.0
        run_request(log, 9999, well=True)
        assert caplog.records[-2].__dict__["left_out"] == SUCCESS_BURST_LINES

    def test_lines_of_a_request_are_contiguous(self, caplog: pytest.LogCaptureFixture) -> None:
        caplog.set_level(logging.INFO)
        log = DecisionLog(Clock())
        first, second = RequestContext(make_call("a"), 0.0), RequestContext(make_call("b"), 0.0)
        log.record(first, "placed")
        log.record(second, "placed")
        log.finish(first, "answered", well=True)
        log.finish(second, "answered", well=True)
        ids = [record.__dict__["request_id"] for record in caplog.records]
        assert ids == ["a", "a", "b", "b"]


class TestBoundedQueueHandler:
    """Guards against a slow reader of the log that blocks the event loop when its pipe is full."""

    def test_records_beyond_the_limit_are_counted(self) -> None:
        handler = BoundedQueueHandler(2)
        for number in range(5):
            handler.emit(logging.makeLogRecord({"msg": f"line {number}"}))
        assert handler.records.get_nowait().msg == "line 0"
        handler.records.get_nowait()
        handler.emit(logging.makeLogRecord({"msg": "next"}))
        assert "3 log lines left out" in handler.records.get_nowait().msg

    def test_logging_does_not_block_on_unread_standard_output(self) -> None:
        code = (
            "import logging, sys, time\n"
            "from cassiadrum.logs import configure_logging\n"
            "configure_logging('json', 'INFO', 'g', sys.stdout, queue_limit=100)\n"
            "logger = logging.getLogger('t')\n"
            "start = time.monotonic()\n"
            "for n in range(5000):\n"
            "    logger.info('%s', 'x' * 200, extra={'bounded': True})\n"
            "print(time.monotonic() - start, file=sys.stderr)\n"
        )
        process = subprocess.Popen(
            [sys.executable, "-c", code], stdout=subprocess.PIPE, stderr=subprocess.PIPE
        )
        assert process.stderr is not None
        assert process.stdout is not None
        try:
            assert float(process.stderr.readline()) < 5.0
            time.sleep(0.1)
            first = json.loads(process.stdout.readline())
            assert first["instance"] == "g"
        finally:
            process.kill()
            process.wait()
