"""Tests of the share of a process in the request rates of the stores."""

from cassiadrum.documents import ServiceDocument, parse_document
from cassiadrum.roles.budget_shares import BudgetShare
from cassiadrum.stores import Instance, TokenBucket
from cassiadrum.tests.sites import example

DOCUMENTS = {name: parse_document(example(name)) for name in ("sprachdienst", "auftragsdienst")}


def find_document(name: str) -> ServiceDocument | None:
    return DOCUMENTS.get(name)


def make_instances(entries: int, **sidecars: int) -> list[Instance]:
    listed = [Instance(f"e{n}", "entry", "", "z", "", "") for n in range(entries)]
    for service, count in sidecars.items():
        listed += [
            Instance(f"{service}{n}", "sidecar", service, "z", "", "") for n in range(count)
        ]
    return listed


def measure_rate_per_s(bucket: TokenBucket, now: float) -> int:
    """Empty the bucket and return its mean rate over the next ten seconds, per second."""
    taken = 0
    while bucket.reserve(now, 0.0) is not None:
        taken += 1
    taken = 0
    for step in range(1, 10_001):
        while bucket.reserve(now + step / 1000, 0.0) is not None:
            taken += 1
    return taken // 10


class TestBudgetShare:
    """Guards against processes that together exceed the request rates of the stores.

    Each process computes its share from the instance list, without a central limit.
    """

    def test_sidecars_with_once_only_classes_share_the_claim_rate(self) -> None:
        share = BudgetShare("auftragsdienst", find_document, lambda: 0.0)
        share.update_instances(make_instances(3, sprachdienst=6, auftragsdienst=3))
        assert measure_rate_per_s(share.budget.writes, 0.0) in (99, 100)

    def test_sidecar_without_once_only_classes_gets_the_minimum_rate(self) -> None:
        share = BudgetShare("sprachdienst", find_document, lambda: 0.0)
        share.update_instances(make_instances(3, sprachdienst=6, auftragsdienst=3))
        assert measure_rate_per_s(share.budget.writes, 0.0) <= 1

    def test_entry_instances_share_the_other_writes(self) -> None:
        share = BudgetShare("", find_document, lambda: 0.0)
        share.update_instances(make_instances(10, auftragsdienst=3))
        assert measure_rate_per_s(share.budget.writes, 0.0) in (9, 10)

    def test_empty_instance_list_is_ignored(self) -> None:
        share = BudgetShare("", find_document, lambda: 0.0)
        share.update_instances(make_instances(10, auftragsdienst=3))
        share.update_instances(())
        assert measure_rate_per_s(share.budget.writes, 0.0) in (9, 10)
