"""Tests of membership and of the links that follow from it."""

import pytest

from cassiadrum.events import EventKind, EventRing, HybridLogicalClock
from cassiadrum.members import REMOVAL_LIMIT_S, ChangeKind, Membership, Subset
from cassiadrum.members.memberships import MOVE_DELAY_S
from cassiadrum.roles.member_links import MemberLinks
from cassiadrum.roles.router_messages import MemberRemoved, MemberUsable, RouterMessage
from cassiadrum.stores import Instance


def sidecar(name: str, port: int = 1, state: str = "live", service: str = "s") -> Instance:
    address = f"127.0.0.1:{port}"
    return Instance(name, "sidecar", service, "z", address, address, state)  # type: ignore[arg-type]


class TestMembership:
    """Guards against members lost to a bad list, and against gone ones that stay."""

    def setup_method(self) -> None:
        self.members = Membership("sidecar")
        self.members.apply_list([sidecar("a"), sidecar("b")], 0.0)
        self.members.mark_connected("a")
        self.members.mark_connected("b")

    def kinds(self, changes: list) -> list[tuple[ChangeKind, str]]:  # type: ignore[type-arg]
        return [(change.kind, change.member.instance) for change in changes]

    @pytest.mark.parametrize("wrong", [[], [sidecar("c", service="other")]])
    def test_wrong_list_removes_nobody_who_answers(self, wrong: list[Instance]) -> None:
        self.members.apply_list(wrong, 1.0)
        changes = self.members.apply_list(wrong, 10 * REMOVAL_LIMIT_S)
        assert ChangeKind.LEFT not in {c.kind for c in changes if c.member.service == "s"}
        assert self.members.member("a") and self.members.member("b")

    def test_empty_list_removes_nobody_who_is_silent_meanwhile(self) -> None:
        self.members.mark_disconnected("a", 1.0)
        assert self.members.apply_list([], 1.0 + 2 * REMOVAL_LIMIT_S) == []

    def test_unlisted_and_silent_is_removed_after_the_limit(self) -> None:
        self.members.apply_list([sidecar("b")], 1.0)
        self.members.mark_disconnected("a", 5.0)
        assert self.members.tick(5.0 + REMOVAL_LIMIT_S - 0.1) == []
        changes = self.members.tick(5.0 + REMOVAL_LIMIT_S)
        assert self.kinds(changes) == [(ChangeKind.LEFT, "a")]

    def test_listed_again_is_not_removed(self) -> None:
        self.members.apply_list([sidecar("b")], 1.0)
        self.members.mark_disconnected("a", 1.0)
        self.members.apply_list([sidecar("a"), sidecar("b")], 5.0)
        assert self.members.tick(100.0) == []

    def test_either_source_makes_a_member_leave(self) -> None:
        changes = self.members.apply_list([sidecar("a", state="leaving"), sidecar("b")], 1.0)
        changes += self.members.apply_report("b", True, 1.0)
        assert self.kinds(changes) == [(ChangeKind.LEAVING, "a"), (ChangeKind.LEAVING, "b")]
        assert self.members.apply_report("a", False, 2.0) == []

    def test_new_address_is_used_once_the_old_one_is_silent(self) -> None:
        assert self.members.apply_list([sidecar("a", 2), sidecar("b")], 1.0) == []
        self.members.mark_disconnected("a", 2.0)
        self.members.mark_disconnected("a", 2.9)
        assert self.members.tick(2.0 + MOVE_DELAY_S - 0.1) == []
        changes = self.members.tick(2.0 + MOVE_DELAY_S)
        assert self.kinds(changes) == [(ChangeKind.MOVED, "a")]
        assert changes[0].member.link_address == "127.0.0.1:2"


class FakeDialer:
    """Stand in for a LinkDialer; `link` is any object."""

    def __init__(self, member: Instance) -> None:
        self.member = member
        self.running = False

    def start(self) -> None:
        self.running = True

    async def stop(self) -> None:
        self.running = False


class TestMemberLinks:
    """Guards against links that do not follow the membership."""

    def setup_method(self) -> None:
        self.now = 0.0
        self.posted: list[RouterMessage] = []
        self.dialers: list[FakeDialer] = []
        self.busy: set[str] = set()
        self.ring = EventRing(HybridLogicalClock(lambda: self.now), "e", "entry", "1")
        self.links = MemberLinks(
            lambda size: Subset("e", "z", size),
            2,
            self.make_dialer,  # type: ignore[arg-type]
            self.posted.append,
            self.busy.__contains__,
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

    def dialled(self) -> list[str]:
        return sorted(dialer.member.instance for dialer in self.dialers)

    async def test_leaving_member_gets_no_new_work_at_once(self) -> None:
        self.links.update_instances((sidecar("a"), sidecar("b")))
        self.links.apply_report("a", True)
        assert self.posted == [MemberUsable("a", False)]
        assert self.events(EventKind.MEMBER_LEAVING) == ["a"]

    async def test_gone_member_is_given_up(self) -> None:
        self.links.update_instances((sidecar("a"), sidecar("b")))
        self.links.update_instances((sidecar("b"),))
        self.now = REMOVAL_LIMIT_S
        self.links.update_instances((sidecar("b"),))
        assert self.posted == [MemberRemoved("a", "s")]
        assert self.events(EventKind.MEMBER_LEFT) == ["a"]
        assert self.events(EventKind.MEMBER_JOINED) == ["a", "b"]

    async def test_moved_member_is_dialled_anew_and_keeps_its_streams(self) -> None:
        self.links.update_instances((sidecar("a"),))
        self.now = MOVE_DELAY_S
        self.links.update_instances((sidecar("a", 2),))
        assert [dialer.member.link_address[-1] for dialer in self.dialers] == ["1", "2"]
        await self.links.close()
        assert not self.dialers[0].running
        assert self.posted == []

    async def test_late_loss_of_a_replaced_link_changes_nothing(self) -> None:
        old, new = object(), object()
        self.links.update_instances((sidecar("a"),))
        self.links.link_up("a", old)  # type: ignore[arg-type]
        self.links.link_up("a", new)  # type: ignore[arg-type]
        self.links.link_down("a", old)  # type: ignore[arg-type]
        self.links.update_instances((sidecar("b"),))
        self.now = 10 * REMOVAL_LIMIT_S
        self.links.update_instances((sidecar("b"),))
        assert MemberRemoved("a", "s") not in self.posted

    async def test_full_sidecar_is_replaced_by_the_next_in_rank(self) -> None:
        self.links.update_instances((sidecar("a"), sidecar("b"), sidecar("c")))
        first = self.dialled()
        self.links.link_refused(first[0])
        assert self.dialled() == ["a", "b", "c"]
        assert self.posted == [MemberRemoved(first[0], "s")]

    async def test_displaced_member_keeps_its_link_while_it_has_work(self) -> None:
        names = ["a", "b", "c", "d", "e"]
        ranked = Subset("e", "z", 5)
        for name in names:
            ranked.put(sidecar(name))
        best, *_, last = ranked.select(0.0)
        old = tuple(sidecar(name) for name in names if name != best)
        self.links.update_instances(old)
        displaced = ranked.select(0.0)[2]
        self.busy.add(displaced)
        for _ in range(2):
            self.links.update_instances((*old, sidecar(best)))
        assert self.posted == [MemberUsable(displaced, False)]
        self.busy.clear()
        self.links.update_instances((*old, sidecar(best)))
        assert self.posted[1:] == [MemberRemoved(displaced, "s")]
        assert last not in self.dialled()
