"""Markdown tables of the committed results."""

from typing import Any

__all__ = ["attainment_table", "goodput_table", "waste_table"]


def goodput_table(cases: dict[str, Any]) -> str:
    """Return the goodput of the product and the plain strategies on the same arrivals."""
    strategies = sorted({name.split("/")[2] for name in cases} - {"product"})
    rows = []
    for name, case in cases.items():
        scenario, load, strategy = name.split("/")
        others = [cases.get(f"{scenario}/{load}/{other}") for other in strategies]
        if strategy != "product" or None in others:
            continue
        for service, own in case["services"].items():
            plain = [other["services"][service]["goodput"] for other in others if other]
            figures = [own["goodput"], own["goodput_spread"], *plain]
            rows.append([scenario, load, service, *(f"{value:.3f}" for value in figures)])
    return _table(["scenario", "load", "service", "product", "spread", *strategies], rows)


def attainment_table(cases: dict[str, Any]) -> str:
    """Return the product's attainment by class, of served and of all offered requests."""
    loads = sorted({name.split("/")[1] for name in cases}, key=float)
    scenarios = dict.fromkeys(name.split("/")[0] for name in cases)
    rows = []
    for scenario in scenarios:
        by_load = [cases[f"{scenario}/{load}/product"]["services"] for load in loads]
        for service in by_load[0]:
            for cls in by_load[0][service]["classes"]:
                found = [services[service]["classes"][cls] for services in by_load]
                cells = [
                    f"{cls_case['attainment']:.3f} / {cls_case['offered_attainment']:.3f}"
                    for cls_case in found
                ]
                rows.append([scenario, cls, *cells])
    return _table(["scenario", "class", *(f"{load}x" for load in loads)], rows)


def waste_table(cases: dict[str, Any]) -> str:
    """Return the product's wasted fraction of the work, wasted work and refusals by reason."""
    rows = []
    for name, case in cases.items():
        scenario, load, strategy = name.split("/")
        if strategy == "product":
            for service, own in case["services"].items():
                wasted = ", ".join(_counts(own["wasted_by_reason"]))
                refused = ", ".join(_counts(own["refusals"]))
                share = f"{own['wasted_share']:.4f}"
                rows.append([scenario, load, service, share, wasted, refused])
    return _table(["scenario", "load", "service", "wasted", "work by reason", "refusals"], rows)


def _counts(counts: dict[str, float]) -> list[str]:
    return [f"{reason} {count:.0f}" for reason, count in counts.items() if round(count)]


def _table(head: list[str], rows: list[list[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)
