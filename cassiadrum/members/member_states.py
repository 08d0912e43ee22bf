"""What is known of one member."""

from cassiadrum.stores.instances import Instance

__all__ = ["MemberState"]


class MemberState:
    """Hold a member as it is dialled, its newest list entry and what its connection shows.

    `absent_since_s` is None while the member is listed, `silent_since_s` while it is connected.
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
        """Tell whether the list names another place than the one that is dialled."""
        return _location(self.listed) != _location(self.member)

    @property
    def should_leave(self) -> bool:
        """Tell whether the list or the member's own report says that it is leaving."""
        return self.reports_leaving or self.listed.state == "leaving"

    def unreachable_s(self, now: float) -> float:
        """Return for how many seconds the member has been neither listed nor connected."""
        if self.unlisted_since_s is None or self.disconnected_since_s is None:
            return 0.0
        return now - max(self.unlisted_since_s, self.disconnected_since_s)


def _location(member: Instance) -> tuple[str, str, str]:
    return member.service, member.zone, member.link_address
