"""Tests of load shedding by a process whose event loop lags."""

import pytest

from cassiadrum.gateways import Gateway, GatewaySettings
from cassiadrum.gateways.errors import Refused
from cassiadrum.gateways.lag_limits import LagLimit
from cassiadrum.gateways.request_contexts import RequestContext
from cassiadrum.platform.call_codecs import PlatformProtocol
from cassiadrum.tests.gateways.makers import make_call, make_catalog, make_entry

TICK_S = 0.1


class SimulatedEventLoop:
    """An event loop in virtual time: each round handles all arrived requests, then timers.

    `work_s` and `refusal_s` are the CPU seconds of an admitted and of a refused request.
    """

    def __init__(self, work_s: float, refusal_s: float, limit: LagLimit) -> None:
        self._work_s = work_s
        self._refusal_s = refusal_s
        self._limit = limit
        # Time from the arrival of each admitted request until its work began.
        self.waits_s: list[float] = []

    def run(self, arrivals_s: list[float]) -> None:
        now, due_s, number = 0.0, TICK_S, 0
        while number < len(arrivals_s):
            round_s = now
            while number < len(arrivals_s) and arrivals_s[number] <= round_s:
                if self._limit.refuses(f"r-{number}"):
                    now += self._refusal_s
                else:
                    self.waits_s.append(now - arrivals_s[number])
                    now += self._work_s
                number += 1
            if now >= due_s:
                self._limit.record_tick(now - due_s)
                due_s = now + TICK_S
            if now == round_s:
                next_s = arrivals_s[number] if number < len(arrivals_s) else due_s
                now = min(next_s, due_s)


class UnlimitedAdmission(LagLimit):
    """A limit that refuses nothing."""

    def refuses(self, request_id: str) -> bool:
        return False


class TestLagLimit:
    """Guards against requests that a slow machine sends on after their callers have left.

    Load pattern: gateways on an eighth of a core get twice the load they can handle for 10 s.
    Without the limit their event loops lagged by 3 s.
    """

    def run_burst(self, limit: LagLimit) -> list[float]:
        process = SimulatedEventLoop(0.02, 0.002, limit)
        process.run([number / 100 for number in range(1000)])
        return process.waits_s

    def test_admitted_requests_start_in_time(self) -> None:
        waits_s = sorted(self.run_burst(LagLimit()))
        # Callers leave if none of their request has been read for 1 s.
        assert waits_s[int(0.9 * len(waits_s))] < 1.0
        assert max(self.run_burst(UnlimitedAdmission())) > 5.0

    def test_most_of_the_capacity_is_used(self) -> None:
        # At 50 requests/s, the machine can handle 500 requests in 10 s.
        assert len(self.run_burst(LagLimit())) > 0.7 * 500

    def test_single_late_tick_refuses_nothing(self) -> None:
        limit = LagLimit()
        limit.record_tick(5.0)
        assert not any(limit.refuses(f"r-{number}") for number in range(100))
        limit.record_tick(0.0)
        limit.record_tick(5.0)
        assert not any(limit.refuses(f"r-{number}") for number in range(100))

    def test_slow_process_still_admits_some_requests(self) -> None:
        limit = LagLimit()
        for _ in range(100):
            limit.record_tick(5.0)
        assert not all(limit.refuses(f"r-{number}") for number in range(1000))
        for _ in range(100):
            limit.record_tick(0.0)
        assert not any(limit.refuses(f"r-{number}") for number in range(1000))


class RecordingRelay:
    """An answer of which the caller has received nothing; records whether it was started."""

    started = False

    async def run(self, attempt: object) -> None:
        self.started = True


class TestLateAttempt:
    """Guards against sending requests whose callers may have left while the process lagged."""

    @pytest.mark.parametrize(("late_s", "sent"), [(1.0, False), (0.0, True)])
    async def test_attempt_past_its_target_is_refused_while_behind(
        self, late_s: float, sent: bool
    ) -> None:
        now = [0.0]
        cfg = GatewaySettings("a", 0.2, 1.0, 10.0, 4.75, True, 2.0)
        gateway = Gateway(cfg, PlatformProtocol(), lambda: now[0], lambda: now[0])
        gateway.configuration.set_catalog(make_catalog())
        gateway.configuration.confirmation.record_answer(0.0, 0.0, 0.0)
        gateway.directory.replace([make_entry("i-0")], 0.0)
        ctx, relay = RequestContext(make_call(), 0.0), RecordingRelay()
        gateway.configuration.resolve(ctx)
        now[0] = 2.0
        gateway.lag.record_tick(late_s)
        if sent:
            assert await gateway._attempt(ctx, relay)  # type: ignore[arg-type]
        else:
            with pytest.raises(Refused, match="behind"):
                await gateway._attempt(ctx, relay)  # type: ignore[arg-type]
        assert relay.started is sent
        (view,) = gateway.directory.usable("drafts")
        assert view.own_requests == 0
