"""Tests of the membership and of the links to its members."""

import pytest

from cassiadrum.events import EventKind, EventRing, HybridLogicalClock
from cassiadrum.members import REMOVAL_LIMIT_S, ChangeKind, Membership, Subset
from cassiadrum.members.memberships import MOVE_DELAY_S
from cassiadrum.roles.member_links import MemberLinks
from cassiadrum.roles.router_messages import MemberRemoved, MemberUsable, RouterMessage
from cassiadrum.stores import Instance


def make_sidecar(name: str, port: int = 1, state: str = "live", service: str = "s") -> Instance:
    address = f"127.0.0.1:{port}"
    return Instance(name, "sidecar", service, "z", address, address, state)  # type: ignore[arg-type]


class TestMembership:
    """Guards against members removed because of a wrong list, and absent ones that are kept.

    The instance list can be empty, outdated or wrong while the members work. A member that is
    unlisted and disconnected beyond REMOVAL_LIMIT_S is gone.
    """

    def setup_method(self) -> None:
        self.members = Membership("sidecar")
        self.members.apply_list([make_sidecar("a"), make_sidecar("b")], 0.0)
        self.members.mark_connected("a")
        self.members.mark_connected("b")

    def kinds_and_instances(self, changes: list) -> list[tuple[ChangeKind, str]]:  # type: ignore[type-arg]
        return [(change.kind, change.member.instance) for change in changes]

    @pytest.mark.parametrize("listed", [[], [make_sidecar("c", service="other")]])
    def test_wrong_list_removes_no_connected_member(self, listed: list[Instance]) -> None:
        self.members.apply_list(listed, 1.0)
        changes = self.members.apply_list(listed, 10 * REMOVAL_LIMIT_S)
        assert ChangeKind.LEFT not in {c.kind for c in changes if c.member.service == "s"}
        assert self.members.member("a") and self.members.member("b")

    def test_empty_list_removes_no_disconnected_member(self) -> None:
        self.members.mark_disconnected("a", 1.0)
        assert self.members.apply_list([], 1.0 + 2 * REMOVAL_LIMIT_S) == []

    def test_unlisted_and_disconnected_member_is_removed_after_the_limit(self) -> None:
        self.members.apply_list([make_sidecar("b")], 1.0)
        self.members.mark_disconnected("a", 5.0)
        assert self.members.tick(5.0 + REMOVAL_LIMIT_S - 0.1) == []
        changes = self.members.tick(5.0 + REMOVAL_LIMIT_S)
        assert self.kinds_and_instances(changes) == [(ChangeKind.LEFT, "a")]

    def test_member_listed_again_is_not_removed(self) -> None:
        self.members.apply_list([make_sidecar("b")], 1.0)
        self.members.mark_disconnected("a", 1.0)
        self.members.apply_list([make_sidecar("a"), make_sidecar("b")], 5.0)
        assert self.members.tick(100.0) == []

    def test_list_or_report_marks_a_member_as_leaving(self) -> None:
        changes = self.members.apply_list(
            [make_sidecar("a", state="leaving"), make_sidecar("b")], 1.0
        )
        changes += self.members.apply_report("b", True, 1.0)
        assert self.kinds_and_instances(changes) == [
            (ChangeKind.LEAVING, "a"),
            (ChangeKind.LEAVING, "b"),
        ]
        assert self.members.apply_report("a", False, 2.0) == []

    def test_new_address_is_used_after_the_old_one_is_disconnected(self) -> None:
        assert self.members.apply_list([make_sidecar("a", 2), make_sidecar("b")], 1.0) == []
        self.members.mark_disconnected("a", 2.0)
        self.members.mark_disconnected("a", 2.9)
        assert self.members.tick(2.0 + MOVE_DELAY_S - 0.1) == []
        changes = self.members.tick(2.0 + MOVE_DELAY_S)
        assert self.kinds_and_instances(changes) == [(ChangeKind.MOVED, "a")]
        assert changes[0].member.link_address == "127.0.0.1:2"


class FakeDialer:
    """A dialer that only records whether it was started."""

    def __init__(self, member: Instance) -> None:
        self.member = member
        self.running = False

    def start(self) -> None:
        self.running = True

    async def stop(self) -> None:
        self.running = False


class TestMemberLinks:
    """Guards against links that do not follow the membership.

    Members leave, move to another address, are removed or refuse the link, and the end of a
    replaced link is noticed late.
    """

    def setup_method(self) -> None:
        self.now = 0.0
        self.posted: list[RouterMessage] = []
        self.dialers: list[FakeDialer] = []
        self.busy_instances: set[str] = set()
        self.ring = EventRing(HybridLogicalClock(lambda: self.now), "e", "entry", "1")
        self.links = MemberLinks(
            lambda size: Subset("e", "z", size),
            2,
            self.make_dialer,  # type: ignore[arg-type]
            self.posted.append,
            self.busy_instances.__contains__,
            {},
            self.ring,
            lambda: self.now,
        )

    def make_dialer(self, member: Instance) -> FakeDialer:
        self.dialers.append(FakeDialer(member))
        return self.dialers[-1]

    def events(self, kind: EventKind) -> list[str]:
        events = self.ring.read_after(0, self.ring.last_sequence)
        return [event.fields["member"] for event in events if event.kind is kind]

    def dialled_instances(self) -> list[str]:
        return sorted(dialer.member.instance for dialer in self.dialers)

    async def test_leaving_member_gets_no_new_work_at_once(self) -> None:
        self.links.update_instances((make_sidecar("a"), make_sidecar("b")))
        self.links.apply_report("a", True)
        assert self.posted == [MemberUsable("a", False)]
        assert self.events(EventKind.MEMBER_LEAVING) == ["a"]

    async def test_unlisted_member_is_removed_after_the_limit(self) -> None:
        self.links.update_instances((make_sidecar("a"), make_sidecar("b")))
        self.links.update_instances((make_sidecar("b"),))
        self.now = REMOVAL_LIMIT_S
        self.links.update_instances((make_sidecar("b"),))
        assert self.posted == [MemberRemoved("a", "s")]
        assert self.events(EventKind.MEMBER_LEFT) == ["a"]
        assert self.events(EventKind.MEMBER_JOINED) == ["a", "b"]

    async def test_moved_member_is_dialled_again_and_keeps_its_streams(self) -> None:
        self.links.update_instances((make_sidecar("a"),))
        self.now = MOVE_DELAY_S
        self.links.update_instances((make_sidecar("a", 2),))
        assert [dialer.member.link_address[-1] for dialer in self.dialers] == ["1", "2"]
        await self.links.close()
        assert not self.dialers[0].running
        assert self.posted == []

    async def test_late_disconnect_of_a_replaced_link_is_ignored(self) -> None:
        old, new = object(), object()
        self.links.update_instances((make_sidecar("a"),))
        self.links.link_up("a", old)  # type: ignore[arg-type]
        self.links.link_up("a", new)  # type: ignore[arg-type]
        self.links.link_down("a", old)  # type: ignore[arg-type]
        self.links.update_instances((make_sidecar("b"),))
        self.now = 10 * REMOVAL_LIMIT_S
        self.links.update_instances((make_sidecar("b"),))
        assert MemberRemoved("a", "s") not in self.posted

    async def test_full_sidecar_is_replaced_by_the_next_in_rank(self) -> None:
        self.links.update_instances((make_sidecar("a"), make_sidecar("b"), make_sidecar("c")))
        first = self.dialled_instances()
        self.links.link_refused(first[0])
        assert self.dialled_instances() == ["a", "b", "c"]
        assert self.posted == [MemberRemoved(first[0], "s")]

    async def test_displaced_member_keeps_its_link_while_it_has_work(self) -> None:
        all_names = ["a", "b", "c", "d", "e"]
        ranked_subset = Subset("e", "z", 5)
        for name in all_names:
            ranked_subset.put(make_sidecar(name))
        best, *_, last = ranked_subset.select(0.0)
        old = tuple(make_sidecar(name) for name in all_names if name != best)
        self.links.update_instances(old)
        displaced = ranked_subset.select(0.0)[2]
        self.busy_instances.add(displaced)
        for _ in range(2):
            self.links.update_instances((*old, make_sidecar(best)))
        assert self.posted == [MemberUsable(displaced, False)]
        self.busy_instances.clear()
        self.links.update_instances((*old, make_sidecar(best)))
        assert self.posted[1:] == [MemberRemoved(displaced, "s")]
        assert last not in self.dialled_instances()
