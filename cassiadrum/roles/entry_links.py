"""The links between a sidecar and entry instances."""

from cassiadrum.links import Link
from cassiadrum.links.messages import Ack, Attach, Detach, Hello, Message
from cassiadrum.members import ConnectionBound

__all__ = ["EntryLinks"]


class EntryLinks:
    """The current link to each entry instance, within the bound on connections."""

    def __init__(self, bound: ConnectionBound) -> None:
        self.by_instance: dict[str, Link] = {}
        self._bound = bound
        # Links that may only be used to fetch answers.
        self._fetch_links: set[Link] = set()

    def is_outdated(self, hello: Hello) -> bool:
        """Return whether the hello was sent before that of the current link."""
        current = self.by_instance.get(hello.instance)
        if current is None or current.peer is None:
            return False
        same_process = current.peer.process_start == hello.process_start
        return same_process and hello.number < current.peer.number

    def admit(self, link: Link, hello: Hello, now: float) -> bool:
        """Make a link the current one; return False when the bound on connections is reached.

        The link that it replaces is aborted.
        """
        old = self.by_instance.get(hello.instance)
        if old is None and not self._bound.admit(hello.instance, now):
            return False
        self.by_instance[hello.instance] = link
        if old is not None and old is not link:
            old.abort()
        return True

    def add_fetch_link(self, link: Link) -> None:
        """Add a link that was opened for a fetch; it does not count towards the bound."""
        self._fetch_links.add(link)

    def accepts(self, link: Link, msg: Message) -> bool:
        """Return whether a message may be accepted from a link."""
        return self.is_current(link) or (
            link in self._fetch_links and isinstance(msg, Ack | Attach | Detach)
        )

    def remove(self, link: Link, now: float) -> str:
        """Remove a link and return its instance, or "" if it was not the current link."""
        self._fetch_links.discard(link)
        if not self.is_current(link) or link.peer is None:
            return ""
        del self.by_instance[link.peer.instance]
        self._bound.connection_lost(link.peer.instance, now)
        return link.peer.instance

    def is_current(self, link: Link) -> bool:
        """Return whether the link was admitted and has not been replaced."""
        return link.peer is not None and self.by_instance.get(link.peer.instance) is link

    def broadcast(self, msg: Message, sender: Link | None = None) -> None:
        """Send a message over the current link to every entry instance but the sender."""
        for link in self.by_instance.values():
            if link is not sender:
                link.send(msg)
