"""Links of a router to sidecars, with their last load reports."""

from cassiadrum.decisions import EndpointReport
from cassiadrum.links import Link
from cassiadrum.links.messages import Hello, Message, Report

__all__ = ["SidecarLinks"]


class SidecarLinks:
    """The current link, the process identity and the last report of each sidecar."""

    def __init__(self) -> None:
        self.by_instance: dict[str, Link] = {}
        self._process_starts: dict[str, str] = {}
        self._reports: dict[str, EndpointReport] = {}
        self._unusable: set[str] = set()

    def link_up(self, link: Link, hello: Hello) -> bool:
        """Make a link the current one; return whether the sidecar process has restarted."""
        old = self.by_instance.get(hello.instance)
        if old is not None and old is not link:
            old.abort()
        self.by_instance[hello.instance] = link
        known = self._process_starts.get(hello.instance)
        self._process_starts[hello.instance] = hello.process_start
        return known not in (None, hello.process_start)

    def link_down(self, link: Link) -> str:
        """Remove a link; return its instance, empty when the link was not the current one."""
        if not self.is_current(link) or link.peer is None:
            return ""
        del self.by_instance[link.peer.instance]
        return link.peer.instance

    def is_current(self, link: Link) -> bool:
        """Return whether the link is the current one of its sidecar."""
        return link.peer is not None and self.by_instance.get(link.peer.instance) is link

    def send(self, instance: str, msg: Message) -> None:
        """Send a message to a sidecar, or drop it if there is no link."""
        link = self.by_instance.get(instance)
        if link is not None:
            link.send(msg)

    def store_report(self, peer: Hello, msg: Report, now: float) -> EndpointReport:
        """Store a load report and return it in the form that the dispatcher uses."""
        report = EndpointReport(
            peer.instance,
            peer.zone,
            msg.running,
            msg.queued,
            msg.limit,
            now - msg.age_s,
            tuple(msg.models),
            tuple(msg.adapters),
            msg.leaving or peer.instance in self._unusable,
            msg.tokens_per_s,
            msg.version,
        )
        self._reports[peer.instance] = report
        return report

    def set_usable(self, instance: str, usable: bool, now: float) -> EndpointReport | None:
        """Permit or forbid new work for a sidecar.

        Returns the last report, marked as leaving, when work is now forbidden and there is one,
        else None. A sidecar that is usable again gets work after its next report, which states
        whether it is leaving.
        """
        if usable:
            self._unusable.discard(instance)
            return None
        self._unusable.add(instance)
        report = self._reports.get(instance)
        return report and report._replace(leaving=True, reported_s=now)

    def forget(self, instance: str) -> None:
        """Drop all state of a sidecar that has left or is no longer linked."""
        self.by_instance.pop(instance, None)
        self._process_starts.pop(instance, None)
        self._reports.pop(instance, None)
        self._unusable.discard(instance)
