"""A model of gateways and endpoints in virtual time, with requests under which endpoints end."""

import heapq
import itertools
from collections.abc import Callable
from functools import partial
from random import Random
from typing import NamedTuple

from cassiadrum.crash_evidence import (
    Content,
    ContentKind,
    Contents,
    ContentTrials,
    CrashBoard,
    CrashNews,
    Exposure,
    customer_content,
    part_contents,
    request_content,
)

# Times in seconds, as on the users' deployments.
CONTACT_S = 3.0
POLL_S = 1.2
WRITE_DELAY_S = 0.05
WRITE_INTERVAL_S = 0.25
RETURN_S = 4.0
CRASH_DELAY_S = 0.07
FIRST_EVENT_S = 0.1
# The shortest and the longest time until an answer is begun.
PREFILL_S = (0.03, 0.4)
# The same from then until it is whole.
ANSWER_S = (0.5, 4.0)
MAX_SENDS = 2
SUBJECTS = 300
SHARED = "5ha7ed"


class Sizes(NamedTuple):
    """The size of a fleet and the rates of its requests per second."""

    gateways: int
    endpoints: int
    sound_per_s: float
    harmful_per_s: tuple[float, ...]
    for_s: float


class Request:
    """A request with its contents; `harmful` names what it holds that ends endpoints, if any.

    `max_sends` is the number of endpoints that its gateway may try.
    """

    def __init__(
        self, number: int, parts: tuple[str, ...], harmful: str, max_sends: int = MAX_SENDS
    ) -> None:
        self.harmful = harmful
        self.content = request_content(b"%d" % number)
        self.contents: Contents = part_contents(parts)
        self.contents[self.content] = len(parts)
        self.contents[customer_content("c")] = 0
        self.max_sends = max_sends
        self.prefill_s = PREFILL_S
        self.answer_s = ANSWER_S
        self.sends = 0


class Run:
    """A request at one start of an endpoint."""

    def __init__(self, request: Request, gateway: int, sent_s: float, *, resent: bool) -> None:
        self.request = request
        self.gateway = gateway
        self.sent_s = sent_s
        self.resent = resent
        # The blamed content with which the request was sent to find out about it.
        self.tried: Content | None = None
        self.begun = False
        self.ended = False


class Endpoint:
    """An endpoint, with the number of its starts and its runs."""

    def __init__(self, name: str, zone: int) -> None:
        self.name = name
        self.zone = zone
        self.starts = 1
        self.is_up = True
        self.runs: list[Run] = []


class Arrival(NamedTuple):
    """A harmful request that was sent to an endpoint."""

    part: str
    gateway: int
    at_s: float


class HarmfulFleet:
    """Gateways that share what they know through a store, as their boards tell it."""

    def __init__(self, sizes: Sizes, seed: int) -> None:
        self.sizes = sizes
        self.now_s = 1000.0
        self.arrivals: list[Arrival] = []
        # Times of the crashes under each harmful part.
        self.crashes: dict[str, list[float]] = {}
        self.restarts: list[tuple[int, float]] = []
        self.sound_refusals: list[float] = []
        self.sound_sends: list[float] = []
        self._rng = Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._rows: dict[int, tuple[int, CrashNews]] = {}
        self._read: dict[int, dict[int, int]] = {}
        self._written_s: dict[int, float] = {}
        self._due: set[int] = set()
        self.endpoints = [Endpoint(f"e{n}", n % 3) for n in range(sizes.endpoints)]
        self.boards: dict[int, CrashBoard] = {}
        self._trials: dict[int, ContentTrials] = {}
        for gateway in range(sizes.gateways):
            self._start_gateway(gateway)
            self._after(self._rng.uniform(0.0, POLL_S), partial(self._poll, gateway))

    def run(self, *, restarts: int = 0, zone_failures: int = 0, single_failures: int = 0) -> None:
        """Run for the given time, with disruptions at random moments."""
        end_s = self.now_s + self.sizes.for_s
        self._arrive(self.sizes.sound_per_s, "")
        for number, per_s in enumerate(self.sizes.harmful_per_s):
            self._after(3.0, partial(self._arrive, per_s, f"bad{number}"))
        for _ in range(restarts):
            self._at_random(lambda: self._restart(self._rng.randrange(self.sizes.gateways)))
        for _ in range(zone_failures):
            self._at_random(lambda: self._fail_zone(self._rng.randrange(3)))
        for _ in range(single_failures):
            self._at_random(lambda: self._end(self._rng.choice(self.endpoints)))
        while self._events and self._events[0][0] < end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = end_s

    def late_arrivals(self, part: str) -> int:
        """Return the arrivals that the users' rule counts."""
        crashes = self.crashes.get(part, [])
        if len(crashes) < 5:
            return 0
        due_s = crashes[4] + CONTACT_S
        return sum(
            arrival.part == part and arrival.at_s > due_s and self._was_in_touch(arrival)
            for arrival in self.arrivals
        )

    def blamed_sound_contents(self) -> set[Content]:
        """Return the contents that any gateway blames and that end no endpoint."""
        blamed = {content for board in self.boards.values() for content in board.harmful}
        bad = {Content(ContentKind.PART, part) for part in self.crashes}
        return blamed - bad

    def _was_in_touch(self, arrival: Arrival) -> bool:
        return not any(
            gateway == arrival.gateway and arrival.at_s - CONTACT_S < at_s <= arrival.at_s
            for gateway, at_s in self.restarts
        )

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._numbers), action))

    def _at_random(self, action: Callable[[], None]) -> None:
        self._after(self._rng.uniform(2.0, self.sizes.for_s * 0.8), action)

    # Gateways.

    def _start_gateway(self, gateway: int) -> None:
        board = self.boards[gateway] = CrashBoard(lambda: self.now_s, Random(gateway))
        self._trials[gateway] = ContentTrials(
            board, partial(self._rank, gateway), lambda: self.now_s
        )
        board.on_news = board.on_answers = lambda: self._schedule_write(gateway)
        self._read[gateway] = {}
        self._due.discard(gateway)
        if gateway in self._rows:
            board.adopt(self._rows[gateway][1])
        self._read_rows(gateway)

    def _rank(self, gateway: int, key: str) -> int:
        order = list(range(self.sizes.gateways))
        Random(key).shuffle(order)
        return order.index(gateway)

    def _restart(self, gateway: int) -> None:
        self.restarts.append((gateway, self.now_s))
        self._start_gateway(gateway)

    def _schedule_write(self, gateway: int) -> None:
        if gateway in self._due:
            return
        self._due.add(gateway)
        due_s = max(
            self.now_s + WRITE_DELAY_S, self._written_s.get(gateway, 0.0) + WRITE_INTERVAL_S
        )
        self._after(due_s - self.now_s, lambda: self._write(gateway))

    def _write(self, gateway: int) -> None:
        self._due.discard(gateway)
        self._written_s[gateway] = self.now_s
        version = self._rows.get(gateway, (0, None))[0] + 1
        self._rows[gateway] = version, self.boards[gateway].own_news()

    def _poll(self, gateway: int) -> None:
        self._read_rows(gateway)
        self.boards[gateway].expire()
        self._after(POLL_S, lambda: self._poll(gateway))

    def _read_rows(self, gateway: int) -> None:
        known = self._read[gateway]
        changed = {n: row for n, row in self._rows.items() if known.get(n) != row[0]}
        known.update({n: version for n, (version, _) in changed.items()})
        self.boards[gateway].apply([news for _, news in changed.values()])

    # Requests.

    def _arrive(self, per_s: float, harmful: str) -> None:
        if per_s <= 0.0:
            return
        # Few subjects have most of the requests.
        subject = int(SUBJECTS * self._rng.random() ** 3)
        parts = (SHARED, harmful or f"5ub{subject}")
        request = Request(next(self._numbers), parts, harmful)
        self._send(request, self._rng.randrange(self.sizes.gateways))
        self._after(self._rng.expovariate(per_s), lambda: self._arrive(per_s, harmful))

    def _send(self, request: Request, gateway: int) -> None:
        board = self.boards[gateway]
        if not request.harmful:
            self.sound_sends.append(self.now_s)
        tried = self._trials[gateway].try_admit(request.contents)
        if board.find_harmful(request.contents, tried) is not None:
            if not request.harmful:
                self.sound_refusals.append(self.now_s)
            return
        up = [endpoint for endpoint in self.endpoints if endpoint.is_up]
        if not up:
            return
        endpoint = self._choose(request, gateway, up)
        request.sends += 1
        if request.harmful:
            self.arrivals.append(Arrival(request.harmful, gateway, self.now_s))
        resent = board.has_crash(request.content)
        run = Run(request, gateway, self.now_s, resent=resent)
        run.tried = tried
        endpoint.runs.append(run)
        prefill_s = self._rng.uniform(*request.prefill_s)
        starts = endpoint.starts
        if request.harmful:
            self._after(prefill_s + CRASH_DELAY_S, partial(self._crash, endpoint, starts, run))
        else:
            self._after(prefill_s + FIRST_EVENT_S, partial(self._begin, run))
            self._after(
                prefill_s + self._rng.uniform(*request.answer_s), partial(self._finish, run)
            )

    def _choose(self, request: Request, gateway: int, up: list[Endpoint]) -> Endpoint:
        """Return an endpoint; requests under which endpoints ended are kept apart."""
        board = self.boards[gateway]
        if board.has_crash(request.content):
            apart = [endpoint for endpoint in up if not self._has_suspect(request, endpoint)]
            up = apart or up
        return self._rng.choice(up)

    def _has_suspect(self, request: Request, endpoint: Endpoint) -> bool:
        return any(
            run.resent and not run.begun and run.request.content != request.content
            for run in endpoint.runs
            if not run.ended
        )

    def _begin(self, run: Run) -> None:
        if not run.ended:
            run.begun = True
            self.boards[run.gateway].record_begun(run.request.contents)

    def _finish(self, run: Run) -> None:
        if not run.ended:
            run.ended = True
            self.boards[run.gateway].record_answered(run.request.contents)

    # Endpoints.

    def _crash(self, endpoint: Endpoint, starts: int, run: Run) -> None:
        board = self.boards[run.gateway]
        withdrawn = board.find_harmful(run.request.contents, run.tried) is not None
        if run.ended or not endpoint.is_up or endpoint.starts != starts:
            return
        if withdrawn:
            run.ended = True
            return
        self.crashes.setdefault(run.request.harmful, []).append(self.now_s)
        self._end(endpoint)

    def _fail_zone(self, zone: int) -> None:
        for endpoint in self.endpoints:
            if endpoint.zone == zone:
                self._end(endpoint)

    def _end(self, endpoint: Endpoint) -> None:
        if not endpoint.is_up:
            return
        endpoint.is_up = False
        runs = [run for run in endpoint.runs if not run.ended]
        endpoint.runs = []
        lost: dict[int, list[Run]] = {}
        for run in runs:
            run.ended = True
            seen = lost.setdefault(run.gateway, [])
            if not run.begun:
                seen.append(run)
        for gateway, lost_runs in lost.items():
            self._record_crash(endpoint, gateway, lost_runs)
        for run in runs:
            self._repeat(run)
        self._after(self._rng.uniform(0.8, 1.2) * RETURN_S, lambda: self._start(endpoint))

    def _record_crash(self, endpoint: Endpoint, gateway: int, runs: list[Run]) -> None:
        contents: Contents = {}
        exposures: dict[Content, Exposure] = {}
        for run in runs:
            contents.update(run.request.contents)
            exposure = Exposure(self.now_s - run.sent_s, run.resent)
            known = exposures.get(run.request.content, exposure)
            exposures[run.request.content] = known.merged(exposure)
        name = f"{endpoint.name}.{endpoint.starts}"
        peers = sum(found.is_up for found in self.endpoints) + 1
        self.boards[gateway].record_crash(name, contents, exposures, peers)

    def _repeat(self, run: Run) -> None:
        board = self.boards[run.gateway]
        harmful = board.find_harmful(run.request.contents) is not None
        suspect = not run.begun and (harmful or board.is_suspect(run.request.contents))
        if run.request.sends < run.request.max_sends and not suspect:
            self._send(run.request, run.gateway)
        else:
            self._failed(run)

    def _failed(self, run: Run) -> None:
        """Handle a request that its gateway gives up after its endpoint ended."""

    def _start(self, endpoint: Endpoint) -> None:
        endpoint.starts += 1
        endpoint.is_up = True
