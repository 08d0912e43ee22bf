"""An entry instance."""

import secrets
import ssl
from typing import Any

from websockets.asyncio.connection import Connection

from cassiadrum.events import EventKind, EventRing, HybridTime
from cassiadrum.links import Link, LinkDialer
from cassiadrum.links.messages import PROTOCOL_VERSION, End, Hello, Message
from cassiadrum.protocols import HttpServer
from cassiadrum.roles.admin_handlers import AdminHandler
from cassiadrum.roles.answer_fetchers import LinkAnswerFetcher
from cassiadrum.roles.caller_handlers import CallerHandler
from cassiadrum.roles.configuration_agents import ConfigurationAgent
from cassiadrum.roles.daemons import Daemon
from cassiadrum.roles.dispatcher_factories import DispatcherFactory
from cassiadrum.roles.members import MemberLinks
from cassiadrum.roles.request_parsers import RequestParser
from cassiadrum.roles.router_messages import FromLink, LinkDown
from cassiadrum.roles.routers import Router
from cassiadrum.settings import Address, Settings
from cassiadrum.stores import Instance, InstanceList

__all__ = ["EntryDaemon"]


class EntryDaemon(Daemon):
    """Serve callers and hold links to sidecars."""

    def __init__(
        self,
        cfg: Settings,
        ring: EventRing,
        configurations: ConfigurationAgent,
        instances: InstanceList,
        dispatchers: DispatcherFactory,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        super().__init__(ring)
        self._cfg = cfg
        self._configurations = configurations
        configurations.on_applied = dispatchers.configure
        self._tls = tls
        self._process_start = secrets.token_hex(8)
        self._members = MemberLinks(instances, self._make_dialer)
        self._router = Router(dispatchers, self._members.service, ring)
        self._fetcher = LinkAnswerFetcher(self._router.links.get)
        self._handler = CallerHandler(
            RequestParser(cfg.instance, configurations.document),
            self._router.post,
            self._fetcher,
            lambda: configurations.ready,
        )
        self._http = HttpServer(self._handler)
        self._admin = HttpServer(AdminHandler(ring, self.status, self.begin_drain))

    async def start(self) -> None:
        """Bind the addresses and start the tasks."""
        listen = self._cfg.listen
        port = await self._http.start(listen.http.host, listen.http.port)
        self.addresses["http"] = str(Address(listen.http.host, port))
        port = await self._admin.start(listen.admin.host, listen.admin.port)
        self.addresses["admin"] = str(Address(listen.admin.host, port))
        self.ring.record(EventKind.PROCESS_STARTED)
        self._spawn(self._configurations.run())
        self._spawn(self._members.run())
        self._spawn(self._router.run())

    def begin_drain(self) -> None:
        """Refuse new requests and let those in flight end."""
        if not self._handler.draining:
            self._handler.draining = True
            self.ring.record(EventKind.DRAINING)

    def in_flight(self) -> int:
        """Return the number of callers that wait for an answer."""
        return self._handler.active

    async def close(self) -> None:
        """Stop at once."""
        await self._http.abort()
        await self._members.close()
        await self._cancel_tasks()
        self.ring.record(EventKind.STOPPED)
        await self._admin.abort()

    def status(self) -> dict[str, Any]:
        """Return the state that operators ask for."""
        dispatchers = self._router.dispatchers.items()
        return {
            "instance": self._cfg.instance,
            "role": "entry",
            "zone": self._cfg.zone,
            "draining": self._handler.draining,
            "in_flight": self.in_flight(),
            "versions": self._configurations.registry.versions(),
            "links": sorted(self._router.links),
            "services": {
                name: {"queued": part.queued(), "running": part.running()}
                for name, part in dispatchers
            },
        }

    def _make_dialer(self, member: Instance) -> LinkDialer:
        return LinkDialer(
            member.link_address,
            self._make_link,
            on_down=self._link_down,
            tls=self._tls,
        )

    def _make_link(self, conn: Connection) -> Link:
        hello = Hello(
            PROTOCOL_VERSION, self._cfg.instance, "entry", self._cfg.zone, "", self._process_start
        )
        return Link(
            conn,
            hello,
            deliver=self._deliver,
            heartbeat=lambda: (self._configurations.digest(), list(self.ring.clock.tick())),
            heard=self._heard,
        )

    def _deliver(self, link: Link, msg: Message) -> None:
        if isinstance(msg, Hello):
            self._configurations.link_up(link)
        if isinstance(msg, End):
            observe(self.ring, msg.clock)
        if not self._configurations.take(link, msg) and not self._fetcher.offer(msg):
            self._router.post(FromLink(link, msg))

    def _heard(self, link: Link, digest: str, clock: list[int]) -> None:
        observe(self.ring, clock)
        self._configurations.heard(link, digest)

    def _link_down(self, link: Link) -> None:
        self._configurations.link_down(link)
        self._router.post(LinkDown(link))


def observe(ring: EventRing, clock: list[int]) -> None:
    """Move the hybrid clock past a peer's time."""
    if len(clock) == len(HybridTime._fields):
        ring.clock.observe(HybridTime(*clock))
