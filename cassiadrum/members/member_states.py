"""State of one member."""

from cassiadrum.stores.instances import Instance

__all__ = ["MemberState"]


class MemberState:
    """The entry used to dial a member, its newest list entry and its connection state.

    `unlisted_since_s` is None while the member is listed, and `disconnected_since_s` while it is
    connected. Times are monotonic seconds.
    """

    def __init__(self, member: Instance, now: float) -> None:
        self.member = member
        self.listed = member
        self.leaving = False
        self.reports_leaving = False
        self.unlisted_since_s: float | None = None
        self.disconnected_since_s: float | None = now

    @property
    def has_moved(self) -> bool:
        """Return whether the list has another service, zone or address than the dialled entry."""
        return _location(self.listed) != _location(self.member)

    @property
    def should_leave(self) -> bool:
        """Return whether the list or the member's own report says that it is leaving."""
        return self.reports_leaving or self.listed.state == "leaving"

    def unreachable_s(self, now: float) -> float:
        """Return the seconds for which the member has been neither listed nor connected."""
        if self.unlisted_since_s is None or self.disconnected_since_s is None:
            return 0.0
        return now - max(self.unlisted_since_s, self.disconnected_since_s)


def _location(member: Instance) -> tuple[str, str, str]:
    return member.service, member.zone, member.link_address
