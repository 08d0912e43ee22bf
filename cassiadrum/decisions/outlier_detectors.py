"""Detection of slow, stalled and failing endpoints."""

import statistics
from collections.abc import Mapping

from cassiadrum.decisions.capability_indexes import Capability
from cassiadrum.decisions.endpoint_states import EndpointState
from cassiadrum.decisions.health_states import HealthState

__all__ = ["OutlierDetector"]

CHECK_INTERVAL_S = 0.5
# A factor of two in batch size does not explain twice the median inter-token time.
STRAGGLER_RATIO = 2.0
# Consecutive checks, so that a single pause of a process does not eject an endpoint.
BAD_CHECKS_TO_EJECT = 2
FAILURES_TO_EJECT = 3
# Equal to the silence limit of connections and far above the usual 40 ms per token.
STALL_S = 3.0
# Before its first token, a stream may wait in the endpoint's queue.
FIRST_TOKEN_STALL_S = 15.0
# While the endpoint reports output, this entry instance's streams may be paused for protected
# requests. A pause lasts about the class's longest wait, 30 s by default.
STALL_WHILE_PAUSED_S = 60.0
INITIAL_EJECT_S = 5.0
MAX_EJECT_S = 60.0
SUCCESSES_TO_RECOVER = 3
MAX_EJECTED_DIVISOR = 3


class OutlierDetector:
    """Outlier detector that ejects slow, stalled and failing endpoints, at most a third of them.

    An ejected endpoint returns through a probation with one request at a time. `streams_tokens`
    is False for plain services, whose calls show no progress before they end.
    """

    def __init__(self, streams_tokens: bool = True) -> None:
        self._streams_tokens = streams_tokens
        self._next_check_s = float("-inf")

    def check(self, states: Mapping[str, EndpointState], now: float) -> list[str]:
        """Check all endpoints, at most twice a second, and return those whose health changed."""
        if now < self._next_check_s:
            return []
        self._next_check_s = now + CHECK_INTERVAL_S
        before = {instance: state.health for instance, state in states.items()}
        self._update_slowdowns(states)
        for state in states.values():
            self._update_health(state, now)
        self._eject_worst(states, now)
        return [name for name, state in states.items() if state.health is not before[name]]

    def enforce_ejection_bound(self, states: Mapping[str, EndpointState], now: float) -> list[str]:
        """Put ejected endpoints on probation if too many are ejected, and return these.

        The bound drops when the number of connected endpoints does. An ejected endpoint also
        returns when no other one provides its models and adapters.
        """
        ejected = [name for name in states if states[name].health is HealthState.EJECTED]
        candidates = [name for name in ejected if not states[name].report.leaving]
        excess = max(0, len(candidates) - _ejection_bound(states))
        candidates.sort(key=lambda name: states[name].health_changed_s)
        changed = candidates[:excess]
        available = _available_by_capability(states)
        changed += [
            name
            for name in candidates[excess:]
            if not states[name].capabilities <= available.keys()
        ]
        for name in changed:
            states[name].set_health(HealthState.PROBATION, now)
        return changed

    def _update_slowdowns(self, states: Mapping[str, EndpointState]) -> None:
        """Compare inter-token times with the median at batch sizes within a factor of two."""
        groups: dict[int, list[float]] = {}
        measured: list[tuple[EndpointState, int, float]] = []
        for state in states.values():
            inter_token_s = state.inter_token_s()
            if inter_token_s is not None:
                group = (state.outstanding() + 1).bit_length()
                measured.append((state, group, inter_token_s))
                groups.setdefault(group, []).append(inter_token_s)
        medians: dict[int, float] = {}
        for group in groups:
            # With fewer than three endpoints of similar batch size, all larger batches are
            # included. They are slower, so an error favours keeping the endpoint.
            near = [gap for g, gaps in groups.items() if abs(g - group) <= 1 for gap in gaps]
            above = [gap for g, gaps in groups.items() if g >= group - 1 for gap in gaps]
            medians[group] = statistics.median_low(near if len(near) >= 3 else above)
        for state, group, inter_token_s in measured:
            state.slowdown = (
                max(1.0, inter_token_s / medians[group]) if medians[group] > 0 else 1.0
            )

    def _update_health(self, state: EndpointState, now: float) -> None:
        if state.health is HealthState.EJECTED:
            eject_s = min(MAX_EJECT_S, INITIAL_EJECT_S * 2.0 ** min(10, state.ejections - 1))
            if now - state.health_changed_s >= eject_s:
                state.set_health(HealthState.PROBATION, now)
            return
        bad = self._is_outlier(state, now)
        state.consecutive_bad_checks = state.consecutive_bad_checks + 1 if bad else 0
        if state.health is HealthState.PROBATION and not bad:
            recovered = state.successes >= SUCCESSES_TO_RECOVER
            if recovered or state.inter_token_s() is not None:
                state.set_health(HealthState.HEALTHY, now)

    def _is_outlier(self, state: EndpointState, now: float) -> bool:
        if state.consecutive_failures >= FAILURES_TO_EJECT or state.slowdown >= STRAGGLER_RATIO:
            return True
        if not self._streams_tokens:
            return False
        limit_s = STALL_S if state.has_produced_tokens() else FIRST_TOKEN_STALL_S
        if state.report.tokens_per_s > 0:
            limit_s = STALL_WHILE_PAUSED_S
        return state.silent_s(now) >= limit_s

    def _eject_worst(self, states: Mapping[str, EndpointState], now: float) -> None:
        active = [state for state in states.values() if not state.report.leaving]
        ejected = sum(state.health is HealthState.EJECTED for state in active)
        available = _available_by_capability(states)
        bad = [state for state in active if state.consecutive_bad_checks >= BAD_CHECKS_TO_EJECT]
        bad.sort(key=lambda state: (state.silent_s(now), state.slowdown), reverse=True)
        for state in bad:
            if ejected >= _ejection_bound(states):
                break
            # The only endpoint with a model is kept, as a slow answer is better than none.
            if any(available[capability] < 2 for capability in state.capabilities):
                continue
            ejected += 1
            for capability in state.capabilities:
                available[capability] -= 1
            state.ejections += 1
            state.set_health(HealthState.EJECTED, now)


def _ejection_bound(states: Mapping[str, EndpointState]) -> int:
    return sum(not state.report.leaving for state in states.values()) // MAX_EJECTED_DIVISOR


def _available_by_capability(states: Mapping[str, EndpointState]) -> dict[Capability, int]:
    """Return the number of endpoints that take new work, by capability."""
    counts: dict[Capability, int] = {}
    for state in states.values():
        if state.health is not HealthState.EJECTED and not state.report.leaving:
            for capability in state.capabilities:
                counts[capability] = counts.get(capability, 0) + 1
    return counts
