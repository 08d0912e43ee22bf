"""Links of an entry instance to the sidecars in the instance list."""

import asyncio
import time
from collections.abc import Callable

from cassiadrum.events import EventKind, EventRing
from cassiadrum.links import Link, LinkDialer
from cassiadrum.members import ChangeKind, MemberChange, Membership, Subset, links_per_service
from cassiadrum.roles.router_messages import MemberRemoved, MemberUsable, RouterMessage
from cassiadrum.stores import Instance

__all__ = ["MemberLinks"]

MEMBER_EVENT_KINDS = {
    ChangeKind.JOINED: EventKind.MEMBER_JOINED,
    ChangeKind.LEAVING: EventKind.MEMBER_LEAVING,
    ChangeKind.LEFT: EventKind.MEMBER_LEFT,
}


class MemberLinks:
    """The links to the sidecars of the chosen subsets; the router learns which are usable.

    `make_dialer` builds the dialer of a member. `has_work` returns whether an instance still has
    work of this process: a sidecar that drops out of its subset keeps its link until it has none.
    `service_by_instance` is filled with the service of each member.
    """

    def __init__(
        self,
        make_subset: Callable[[int], Subset],
        subset_size: int,
        make_dialer: Callable[[Instance], LinkDialer],
        post: Callable[[RouterMessage], None],
        has_work: Callable[[str], bool],
        service_by_instance: dict[str, str],
        ring: EventRing,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._membership = Membership("sidecar")
        self._subsets: dict[str, Subset] = {}
        self._service_by_instance = service_by_instance
        self._make_subset = make_subset
        self._subset_size = self._effective_subset_size = subset_size
        self._make_dialer = make_dialer
        self._post = post
        self._has_work = has_work
        self._ring = ring
        self._clock = clock
        self._dialers: dict[str, LinkDialer] = {}
        self._links: dict[str, Link] = {}
        self._retired: set[str] = set()
        self._stopping: set[asyncio.Task[None]] = set()

    def member(self, instance: str) -> Instance | None:
        """Return a sidecar of the instance list, linked or not; None when it is not listed."""
        return self._membership.member(instance)

    def update_instances(self, instances: tuple[Instance, ...]) -> None:
        """Apply a new instance list; an empty one means that the read failed."""
        # Links retired by the previous list are closed only now, so that the router has had one
        # poll interval to stop using them.
        self._close_retired()
        services = {item.service for item in instances if item.role == "sidecar"}
        if services:
            self._effective_subset_size = links_per_service(self._subset_size, len(services))
            for subset in self._subsets.values():
                subset.resize(self._effective_subset_size)
        self._apply_changes(self._membership.apply_list(instances, self._clock()))

    def link_up(self, instance: str, link: Link) -> None:
        """Store the link on which a sidecar sent its hello."""
        self._links[instance] = link
        self._membership.mark_connected(instance)

    def link_down(self, instance: str, link: Link) -> None:
        """Record the loss of a link, unless a newer one has replaced it."""
        if self._links.get(instance) is link:
            del self._links[instance]
            self._membership.mark_disconnected(instance, self._clock())

    def apply_report(self, instance: str, leaving: bool) -> None:
        """Record whether a sidecar reports that it is leaving."""
        changes = self._membership.apply_report(instance, leaving, self._clock())
        if changes:
            self._apply_changes(changes)

    def link_refused(self, instance: str) -> None:
        """Replace a sidecar that refused the link because it has reached its connection bound."""
        service = self._service_by_instance.get(instance)
        if service is not None:
            self._subsets[service].set_full(instance, self._clock())
            self._remove_link(instance)
            self._update_links()

    async def close(self) -> None:
        """Close every link and wait until they are closed."""
        await asyncio.gather(*(dialer.stop() for dialer in self._dialers.values()))
        await asyncio.gather(*self._stopping)

    def _apply_changes(self, changes: list[MemberChange]) -> None:
        for change in changes:
            self._apply_change(change)
        self._update_links()

    def _apply_change(self, change: MemberChange) -> None:
        kind, member = change
        name = member.instance
        if kind in MEMBER_EVENT_KINDS:
            self._ring.record(MEMBER_EVENT_KINDS[kind], service=member.service, member=name)
        if kind in (ChangeKind.MOVED, ChangeKind.LEFT):
            # Streams can be attached again at a new address, but not at another service.
            if kind is ChangeKind.MOVED and member.service == self._service_by_instance[name]:
                self._stop_dialer(name)
            else:
                self._remove_link(name)
            self._subsets[self._service_by_instance.pop(name)].remove(name)
        if kind in (ChangeKind.JOINED, ChangeKind.MOVED):
            self._service_by_instance[name] = member.service
            subset = self._subsets.setdefault(
                member.service, self._make_subset(self._effective_subset_size)
            )
            subset.put(member)
            subset.set_leaving(name, self._membership.is_leaving(name))
        elif kind in (ChangeKind.LEAVING, ChangeKind.RETURNED):
            leaving = kind is ChangeKind.LEAVING
            self._subsets[member.service].set_leaving(name, leaving)
            self._post(MemberUsable(name, not leaving))

    def _update_links(self) -> None:
        now = self._clock()
        chosen = {name for subset in self._subsets.values() for name in subset.select(now)}
        for name in chosen - self._dialers.keys():
            member = self._membership.member(name)
            if member is not None:
                self._dialers[name] = self._make_dialer(member)
                self._dialers[name].start()
        for name in self._retired & chosen:
            self._retired.discard(name)
            self._post(MemberUsable(name, True))
        for name in self._dialers.keys() - chosen - self._retired:
            # The link to a leaving sidecar stays up for its streams until the sidecar stops.
            if not self._membership.is_leaving(name):
                self._retired.add(name)
                self._post(MemberUsable(name, False))

    def _close_retired(self) -> None:
        for name in [name for name in self._retired if not self._has_work(name)]:
            self._remove_link(name)

    def _remove_link(self, instance: str) -> None:
        if self._stop_dialer(instance):
            # The message names the service, since the member may be unknown when it is handled.
            self._post(MemberRemoved(instance, self._service_by_instance.get(instance, "")))

    def _stop_dialer(self, instance: str) -> bool:
        self._retired.discard(instance)
        dialer = self._dialers.pop(instance, None)
        if dialer is None:
            return False
        task = asyncio.ensure_future(dialer.stop())
        self._stopping.add(task)
        task.add_done_callback(self._stopping.discard)
        return True
