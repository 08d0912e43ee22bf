"""Simulation of one run: entry instances, sidecars, endpoints and arrivals in one event loop."""

import random
from collections.abc import Callable, Sequence
from pathlib import Path

from bench.calls import Call
from bench.entries import Entry
from bench.event_loops import EventLoop
from bench.reporters import Reporter
from bench.run_records import RunRecords
from bench.run_specs import RunSpec
from bench.safety_checks import SafetyCheck
from bench.scenarios import Scenario
from bench.sidecars import Sidecar
from bench.strategies import Strategy
from bench.workloads import WARM_UP_S, make_calls
from cassiadrum.documents import ServiceDocument, parse_document

__all__ = ["ENGINE_RESTART_S", "Simulation", "load_document"]

EXAMPLES = Path(__file__).parent.parent / "examples"
# Longer than the longest class deadline, so that every request has time to end.
MAX_RUN_S = 4000.0
# Restart time of a crashed engine, including loading its weights.
ENGINE_RESTART_S = 5.0


def load_document(service: str) -> ServiceDocument:
    """Return the service document of an example service."""
    path = EXAMPLES / f"{service}.toml"
    return parse_document(path.read_text(), path.name)


class Simulation:
    """Sets up and executes one run."""

    def __init__(self, spec: RunSpec, scenario: Scenario, strategy: Strategy) -> None:
        self.spec = spec
        self.scenario = scenario
        self.documents = {name: load_document(name) for name in scenario.services}
        self.loop = EventLoop()
        self.records = RunRecords()
        self.sidecars: dict[str, Sidecar] = {}
        self._strategy = strategy
        self._safety = SafetyCheck(self.records)
        for document in self.documents.values():
            self._add_sidecars(document)
        self._entries = [self._entry(index) for index in range(spec.entries)]
        self._start_reports()
        self._start_faults()
        self._start_arrivals()

    def run(self) -> None:
        """Run until every request has ended after the measurement window, or MAX_RUN_S passed."""
        end_s = WARM_UP_S + self.spec.duration_s
        self.loop.run(
            lambda: self.records.open_calls == 0 and self.loop.now > end_s, limit_s=MAX_RUN_S
        )

    def _add_sidecars(self, document: ServiceDocument) -> None:
        for index in range(document.endpoints):
            name = f"{document.name}-{index}"
            scheduler = self._strategy.make_scheduler(document)
            sidecar = Sidecar(
                loop=self.loop,
                instance=name,
                document=document,
                scheduler=scheduler,
                records=self.records,
                safety=self._safety,
            )
            self.sidecars[name] = sidecar

    def _entry(self, index: int) -> Entry:
        dispatchers = {
            name: self._strategy.make_dispatcher(
                document, self.spec.entries, f"{self.spec.seed}/{name}/{index}"
            )
            for name, document in self.documents.items()
        }
        return Entry(
            loop=self.loop,
            dispatchers=dispatchers,
            sidecars=self.sidecars,
            records=self.records,
            safety=self._safety,
            resend_after_s=self._resend(),
        )

    def _resend(self) -> Callable[[str, str], float] | None:
        rule = self._strategy.resend_after_s
        if rule is None:
            return None
        delays = {
            (document.name, cls.name): rule(cls)
            for document in self.documents.values()
            for cls in document.classes
        }
        return lambda service, class_name: delays[service, class_name]

    def _start_reports(self) -> None:
        for index, (name, sidecar) in enumerate(self.sidecars.items()):
            document = self.documents[sidecar.service]
            rng = random.Random(f"{self.spec.seed}/reports/{name}")
            reporter = Reporter(
                loop=self.loop,
                sidecar=sidecar,
                zone=document.zones[index % len(document.zones)],
                models=document.models,
                listeners=self._entries,
                scenario=self.scenario,
                rng=rng,
            )
            reporter.start()

    def _start_faults(self) -> None:
        engines = [
            name
            for name, sidecar in self.sidecars.items()
            if self.documents[sidecar.service].kind == "model"
        ]
        if self.scenario.straggler != 1.0:
            self.records.stragglers.append(engines[0])
            endpoint = self.sidecars[engines[0]].endpoint
            self.loop.call_at(0.0, endpoint.slow_down, self.scenario.straggler)
        if self.scenario.crash:
            crash_at_s = WARM_UP_S + 0.4 * self.spec.duration_s
            self.loop.call_at(crash_at_s, self.sidecars[engines[1]].crash, ENGINE_RESTART_S)

    def _start_arrivals(self) -> None:
        for document in self.documents.values():
            calls = make_calls(
                document,
                self.scenario,
                self.spec.load,
                self.spec.duration_s,
                str(self.spec.seed),
            )
            self._submit_all(calls)

    def _submit_all(self, calls: Sequence[Call]) -> None:
        rng = random.Random(f"{self.spec.seed}/balancer")
        for call in calls:
            call.entry = rng.randrange(len(self._entries))
            self.records.calls.append(call)
            self.loop.call_at(call.req.arrived_s, self._entries[call.entry].submit, call)
