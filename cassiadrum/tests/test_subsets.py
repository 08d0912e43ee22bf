"""Tests of the subsets of sidecars and of the bound on connections."""

import math

from cassiadrum.links.messages import Hello, Message
from cassiadrum.members import ConnectionBound, Subset, links_per_service, mean_connections
from cassiadrum.roles.entry_links import EntryLinks
from cassiadrum.stores import Instance

# A tenth of a large deployment: 2,300 entry instances, 7,300 sidecars, 27 zones and 560
# replacements a day. With the same subset size the mean stays 20.2 connections.
ENTRIES = 230
SIDECARS = 730
ZONES = 3
REPLACEMENTS = 56
SUBSET_SIZE = 64


def instance(role: str, name: str, number: int) -> Instance:
    return Instance(name, role, "s" if role == "sidecar" else "", f"z{number % ZONES}", "", "")


class Fleet:
    """The subsets of all entry instances and the connection bounds of all sidecars."""

    def __init__(self) -> None:
        self.entries = [instance("entry", f"e{n}", n) for n in range(ENTRIES)]
        self.sidecars = [instance("sidecar", f"s{n}", n) for n in range(SIDECARS)]
        self.mean = mean_connections(self.entries + self.sidecars, "s", SUBSET_SIZE)
        self.subsets = {e.instance: Subset(e.instance, e.zone, SUBSET_SIZE) for e in self.entries}
        self.bounds: dict[str, ConnectionBound] = {}
        self.links: dict[str, set[str]] = {name: set() for name in self.subsets}
        for member in self.sidecars:
            self.add(member)
        self.dial_until_stable()

    def add(self, member: Instance) -> None:
        self.bounds[member.instance] = ConnectionBound()
        self.bounds[member.instance].mean = self.mean
        for subset in self.subsets.values():
            subset.put(member)

    def remove(self, name: str) -> None:
        del self.bounds[name]
        for subset in self.subsets.values():
            subset.remove(name)
        for linked in self.links.values():
            linked.discard(name)

    def dial_until_stable(self) -> None:
        """Dial until each entry instance has links to its whole subset."""
        for entry, subset in self.subsets.items():
            linked = self.links[entry]
            while linked != (selected := set(subset.select(0.0))):
                for name in linked - selected:
                    self.bounds[name].connection_lost(entry, -1e9)
                linked &= selected
                for name in selected - linked:
                    if self.bounds[name].admit(entry, 0.0):
                        linked.add(name)
                    else:
                        subset.set_full(name, 0.0)

    def pairs(self) -> set[tuple[str, str]]:
        return {(entry, name) for entry, names in self.links.items() for name in names}

    def counts(self) -> list[int]:
        return [len(bound) for bound in self.bounds.values()]


class TestSubset:
    """Guards against a subset that does not follow zone, rank and availability.

    A sidecar that leaves or is full must be replaced, and full ones must be tried again if too
    few remain.
    """

    def test_own_zone_comes_first(self) -> None:
        subset = Subset("e", "z1", 3)
        for number in range(9):
            subset.put(instance("sidecar", f"s{number}", number))
        assert sorted(subset.select(0.0)) == ["s1", "s4", "s7"]

    def test_leaving_sidecar_is_replaced_before_it_is_gone(self) -> None:
        subset = Subset("e", "z", 2)
        for number in range(3):
            subset.put(instance("sidecar", f"s{number}", number))
        first = subset.select(0.0)
        subset.set_leaving(first[0], True)
        assert first[0] not in subset.select(0.0)
        assert len(subset.select(0.0)) == 2

    def test_full_sidecars_are_dialled_again_when_too_few_remain(self) -> None:
        subset = Subset("e", "z", 2)
        for number in range(2):
            subset.put(instance("sidecar", f"s{number}", number))
        subset.set_full("s0", 0.0)
        assert subset.select(0.5) == ["s1"]
        assert len(subset.select(5.0)) == 2


class TestConnectionBound:
    """Guards against a sidecar with too many links, or one that refuses known peers.

    Entry instances choose independently, so some sidecars are chosen too often. An entry instance
    that reconnects must keep its slot.
    """

    def test_bound_is_a_quarter_above_the_mean(self) -> None:
        bound = ConnectionBound()
        bound.mean = 2.0
        assert [bound.admit(f"e{n}", 0.0) for n in range(4)] == [True, True, True, False]

    def test_lost_link_keeps_its_slot_while_its_streams_wait(self) -> None:
        bound = ConnectionBound()
        bound.mean = 1.0
        assert bound.admit("e0", 0.0) and bound.admit("e1", 0.0)
        bound.connection_lost("e0", 1.0)
        assert not bound.admit("e2", 2.0)
        assert bound.admit("e0", 3.0)
        bound.connection_lost("e0", 4.0)
        assert bound.admit("e2", 20.0)

    def test_unknown_mean_refuses_no_link(self) -> None:
        bound = ConnectionBound()
        assert all(bound.admit(f"e{n}", 0.0) for n in range(100))


class TestChurn:
    """Guards against connections that concentrate or move when instances are replaced.

    A replacement changes the ranks in every subset; only links of the replaced sidecar may move,
    and no sidecar may exceed 1.25 times the mean.
    """

    def test_replacement_under_the_same_name_moves_only_its_own_links(self) -> None:
        fleet = Fleet()
        before = fleet.pairs()
        assert {len(names) for names in fleet.links.values()} == {SUBSET_SIZE}
        for number in range(REPLACEMENTS):
            old = fleet.sidecars[number * 13]
            fleet.remove(old.instance)
            kept = fleet.pairs()
            fleet.add(old)
            fleet.dial_until_stable()
            assert all(name == old.instance for _, name in fleet.pairs() - kept)
            assert max(fleet.counts()) <= math.ceil(1.25 * fleet.mean)
        print(f"mean {fleet.mean:.1f}, most {max(fleet.counts())}, least {min(fleet.counts())}")
        assert fleet.pairs() == before

    def test_replacement_under_another_name_keeps_the_balance(self) -> None:
        fleet = Fleet()
        opened = closed = 0
        for number in range(REPLACEMENTS):
            old = fleet.sidecars[number * 13]
            before = fleet.pairs()
            fleet.remove(old.instance)
            fleet.dial_until_stable()
            fleet.add(old._replace(instance=f"new{number}"))
            fleet.dial_until_stable()
            after = fleet.pairs()
            opened += len(after - before)
            closed += len(before - after)
            assert len(fleet.bounds[f"new{number}"]) > 0
        print(f"opened {opened / REPLACEMENTS:.1f}, closed {closed / REPLACEMENTS:.1f} links each")
        assert max(fleet.counts()) <= math.ceil(1.25 * fleet.mean)
        assert {len(names) for names in fleet.links.values()} == {SUBSET_SIZE}


class FakeLink:
    """A link that records the messages sent on it."""

    def __init__(self, entry: str) -> None:
        self.peer = Hello(1, entry, "entry", "z", "")
        self.sent: list[Message] = []
        self.aborted = False

    def send(self, msg: Message) -> None:
        self.sent.append(msg)

    def abort(self) -> None:
        self.aborted = True


class TestEntryLinks:
    """Guards against a sidecar that admits too many entry instances.

    A reconnection replaces the old link and must not be counted twice.
    """

    def test_link_above_the_bound_is_refused(self) -> None:
        bound = ConnectionBound()
        bound.mean = 1.0
        links = EntryLinks(bound)
        fake_links = [FakeLink(f"e{n}") for n in range(3)]
        admitted = [links.admit(fake, fake.peer, 0.0) for fake in fake_links]  # type: ignore[arg-type]
        assert admitted == [True, True, False]
        assert not links.is_current(fake_links[2])  # type: ignore[arg-type]

    def test_reconnection_takes_no_second_slot(self) -> None:
        bound = ConnectionBound()
        bound.mean = 0.5
        links = EntryLinks(bound)
        old, new = FakeLink("e0"), FakeLink("e0")
        assert links.admit(old, old.peer, 0.0) and links.admit(new, new.peer, 0.0)  # type: ignore[arg-type]
        assert old.aborted and not new.aborted
        assert links.remove(old, 1.0) == ""  # type: ignore[arg-type]


class TestLinksPerService:
    """Guards against a number of links that grows with the number of services.

    The subset size bounds the links to all services together.
    """

    def test_links_of_all_services_stay_near_the_subset(self) -> None:
        assert links_per_service(64, 17) == 4
        assert links_per_service(64, 1) == 64
        assert links_per_service(2, 17) == 2
