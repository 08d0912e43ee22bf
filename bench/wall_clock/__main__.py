"""Measure the cost of a request through the router, a minimal relay and the direct path."""

import argparse
import asyncio
import json
import sys
from collections.abc import Sequence
from statistics import quantiles
from typing import Any, NamedTuple

from bench.processes import ChildProcess, ProcessGroup
from bench.wall_clock.bench_platforms import DOCUMENTS, BenchPlatform
from bench.wall_clock.gateways import GATEWAY_REQUEST_TEMPLATES, GatewayPlatform
from bench.wall_clock.load_generators import LoadGenerator, RequestTemplate, Timing
from cassiadrum.protocols import HttpClient

TOKENS_PER_STREAM = 64
STREAM_BODY = json.dumps(
    {"prompt": "yoke", "stream": True, "max_tokens": TOKENS_PER_STREAM}
).encode()
REQUEST_TEMPLATES = (
    RequestTemplate("calls", "GET", "/permits/7", b"", 0),
    RequestTemplate("streams", "POST", "/v1/completions", STREAM_BODY, TOKENS_PER_STREAM),
)
CONNECTIONS = 32
# Targets: the ratio of requests per core-second to the relay's, and the added first-byte latency.
MIN_RATIO = 0.5
MAX_ADDED_MS = {"p50": 2.0, "p99": 10.0}
SEED = 1
ROUNDS = 5


class CostSample(NamedTuple):
    """Number of answers in a period and the CPU seconds of each process."""

    answers: int
    duration_s: float
    cpu_s: list[float]


class Route(NamedTuple):
    """The processes that a request passes, the first one first, and its path prefix."""

    processes: list[ChildProcess]
    prefix: str


async def measure(duration_s: float) -> dict[str, Any]:
    """Return the figures of all request templates through an entry instance and a sidecar."""
    async with ProcessGroup() as group:
        platform = BenchPlatform(group)
        await platform.start(DOCUMENTS)
        engine = (await group.start("bench.wall_clock.engine")).startup_info["http"]
        relay = await group.start("bench.wall_clock.relay", "--target", engine)
        sidecars = {
            "calls": await platform.start_sidecar("s-calls", "calls", "plain", engine),
            "streams": await platform.start_sidecar("s-streams", "streams", "engine", engine),
        }
        entry = await platform.start_entry("e")
        await _wait_for_links(entry, links=len(sidecars))
        report = {}
        for template in REQUEST_TEMPLATES:
            router = [entry, sidecars[template.name]]
            route = Route(router, f"/services/{template.name}")
            report[template.name] = await _compare(template, engine, relay, route, duration_s)
        await platform.close()
        return report


async def measure_gateway(duration_s: float) -> dict[str, Any]:
    """Return the figures of a gateway, which calls its endpoints without a sidecar."""
    async with ProcessGroup() as group:
        platform = GatewayPlatform(group)
        route = Route([await platform.start()], "")
        report = {}
        for template in GATEWAY_REQUEST_TEMPLATES:
            engine = platform.engines[template.name]
            relay = await group.start("bench.wall_clock.relay", "--target", engine)
            found = await _compare(template, engine, relay, route, duration_s)
            report[f"gateway {template.name}"] = found
        await platform.close()
        return report


async def _wait_for_links(entry: ChildProcess, links: int) -> None:
    """Wait until an entry instance has its links and all documents."""
    host, _, port = entry.startup_info["admin"].rpartition(":")
    async with asyncio.timeout(20.0):
        while True:
            response = await HttpClient(host, int(port)).request("GET", "/admin/status")
            status = json.loads(await response.read())
            if len(status["links"]) == links and len(status["versions"]) == len(DOCUMENTS):
                return
            await asyncio.sleep(0.05)


async def _compare(
    template: RequestTemplate, engine: str, relay: ChildProcess, route: Route, duration_s: float
) -> dict[str, Any]:
    routed = LoadGenerator(route.processes[0].startup_info["http"], template.encode(route.prefix))
    relayed = LoadGenerator(relay.startup_info["http"], template.encode(""))
    direct = LoadGenerator(engine, template.encode(""))
    for generator in (routed, relayed, direct):
        await generator.closed_loop(CONNECTIONS, 0.5)
    # The rounds alternate, so that other load on the machine affects both alike.
    rounds: dict[str, list[CostSample]] = {"relay": [], "router": []}
    for _ in range(ROUNDS):
        rounds["relay"].append(await _sample_cost(relayed, [relay], duration_s / ROUNDS))
        rounds["router"].append(await _sample_cost(routed, route.processes, duration_s / ROUNDS))
    relay_cost, router_cost = (_aggregate(rounds[name], template) for name in ("relay", "router"))
    rate_per_s = router_cost["requests_per_s"] / 2
    delays = {}
    for name, generator in (("direct", direct), ("relay", relayed), ("router", routed)):
        delays[name] = _first_byte_percentiles(
            await generator.open_loop(rate_per_s, duration_s, SEED)
        )
        generator.close()
    added = {key: delays["router"][key] - delays["direct"][key] for key in MAX_ADDED_MS}
    share = router_cost["requests_per_core_s"] / relay_cost["requests_per_core_s"]
    return {
        "relay": relay_cost,
        "router": router_cost,
        "ratio_to_relay": share,
        "half_load_requests_per_s": rate_per_s,
        "first_byte_ms": delays,
        "added_ms": added,
    }


async def _sample_cost(
    generator: LoadGenerator, processes: Sequence[ChildProcess], duration_s: float
) -> CostSample:
    before = [child.cpu_s() for child in processes]
    answers = len(await generator.closed_loop(CONNECTIONS, duration_s))
    spent = [child.cpu_s() - start for child, start in zip(processes, before, strict=True)]
    return CostSample(answers, duration_s, spent)


def _aggregate(rounds: list[CostSample], template: RequestTemplate) -> dict[str, Any]:
    answers = sum(part.answers for part in rounds)
    spent = [sum(cpu_s) for cpu_s in zip(*(part.cpu_s for part in rounds), strict=True)]
    return {
        "requests_per_s": answers / sum(part.duration_s for part in rounds),
        "requests_per_core_s": answers / sum(spent),
        "tokens_per_core_s": answers * template.tokens / sum(spent),
        "cpu_us_per_request": [1e6 * cpu_s / answers for cpu_s in spent],
    }


def _first_byte_percentiles(timings: list[Timing]) -> dict[str, float]:
    cuts = quantiles([timing.first_s * 1e3 for timing in timings], n=100)
    return {"p50": cuts[49], "p99": cuts[98]}


def _missed(report: dict[str, Any]) -> list[str]:
    missed = []
    for name, figures in report.items():
        if figures["ratio_to_relay"] < MIN_RATIO:
            missed.append(
                f"{name}: ratio to relay {figures['ratio_to_relay']:.2f}, target >= {MIN_RATIO}"
            )
        for key, limit in MAX_ADDED_MS.items():
            if figures["added_ms"][key] > limit:
                found = figures["added_ms"][key]
                missed.append(f"{name}: added {key} {found:.2f} ms, target <= {limit:g} ms")
    return missed


def main() -> int:
    """Print the report as JSON; return 1 if a target is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--duration", type=float, default=4.0, help="seconds for each figure")
    parser.add_argument("--only", choices=("router", "gateway"), help="measure only this path")
    options = parser.parse_args()
    report: dict[str, Any] = {}
    if options.only != "gateway":
        report |= asyncio.run(measure(options.duration))
    if options.only != "router":
        report |= asyncio.run(measure_gateway(options.duration))
    print(json.dumps(report, indent=1))
    missed = _missed(report)
    for line in missed:
        print(f"target missed: {line}", file=sys.stderr)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
