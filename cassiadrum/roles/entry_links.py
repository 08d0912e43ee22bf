"""The links of a sidecar to entry instances."""

from cassiadrum.links import Link
from cassiadrum.links.messages import Ack, Attach, Detach, Hello, Message
from cassiadrum.members import ConnectionBound

__all__ = ["EntryLinks"]


class EntryLinks:
    """Keep the current link to each entry instance, up to the bound on connections."""

    def __init__(self, bound: ConnectionBound) -> None:
        self.by_instance: dict[str, Link] = {}
        self._bound = bound
        # Links over which answers may be fetched and nothing else.
        self._fetching: set[Link] = set()

    def is_older(self, hello: Hello) -> bool:
        """Tell whether the hello was sent before that of the current link."""
        current = self.by_instance.get(hello.instance)
        if current is None or current.peer is None:
            return False
        same_process = current.peer.process_start == hello.process_start
        return same_process and hello.number < current.peer.number

    def up(self, link: Link, hello: Hello, now: float) -> bool:
        """Make a link the current one; return False when the sidecar has its share of links."""
        old = self.by_instance.get(hello.instance)
        if old is None and not self._bound.admit(hello.instance, now):
            return False
        self.by_instance[hello.instance] = link
        if old is not None and old is not link:
            old.abort()
        return True

    def fetch_up(self, link: Link) -> None:
        """Take a link that is opened for a fetch; it needs no place within the bound."""
        self._fetching.add(link)

    def may_send(self, link: Link, msg: Message) -> bool:
        """Tell whether a message is taken from this link."""
        return self.is_current(link) or (
            link in self._fetching and isinstance(msg, Ack | Attach | Detach)
        )

    def down(self, link: Link, now: float) -> str:
        """Forget a link; return its instance, empty when the link was not the current one."""
        self._fetching.discard(link)
        if not self.is_current(link) or link.peer is None:
            return ""
        del self.by_instance[link.peer.instance]
        self._bound.connection_lost(link.peer.instance, now)
        return link.peer.instance

    def is_current(self, link: Link) -> bool:
        """Tell whether the link was admitted and has not been replaced."""
        return link.peer is not None and self.by_instance.get(link.peer.instance) is link

    def send(self, msg: Message) -> None:
        """Send a message on every link."""
        for link in self.by_instance.values():
            link.send(msg)
