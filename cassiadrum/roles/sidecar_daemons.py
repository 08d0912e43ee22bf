"""The process beside an endpoint."""

import asyncio
import secrets
import ssl
import time
from typing import Any

from websockets.asyncio.connection import Connection

from cassiadrum.decisions import EndpointScheduler
from cassiadrum.endpoints import Endpoint, EndpointError
from cassiadrum.events import EventRing
from cassiadrum.links import Link, LinkServer
from cassiadrum.links.messages import PROTOCOL_VERSION, Hello
from cassiadrum.protocols import HttpServer
from cassiadrum.roles.admin_handlers import AdminHandler
from cassiadrum.roles.daemons import Daemon
from cassiadrum.roles.document_caches import DocumentCache
from cassiadrum.roles.endpoint_callers import EndpointCaller
from cassiadrum.roles.entry_daemons import observe
from cassiadrum.roles.sidecar_messages import DrainSidecar, LinkLost, LinkMessage, LoadChanged
from cassiadrum.roles.sidecars import Sidecar
from cassiadrum.settings import Address, Settings

__all__ = ["SidecarDaemon"]

LOAD_POLL_S = 0.25


class SidecarDaemon(Daemon):
    """Serve entry instances and guard one endpoint."""

    def __init__(
        self,
        cfg: Settings,
        ring: EventRing,
        documents: DocumentCache,
        endpoint: Endpoint,
        scheduler: EndpointScheduler,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        super().__init__(ring)
        self._cfg = cfg
        self._documents = documents
        self._endpoint = endpoint
        self._tls = tls
        self._draining = False
        self._process_start = secrets.token_hex(8)
        self._sidecar = Sidecar(
            endpoint, scheduler, lambda post: EndpointCaller(endpoint, post), ring
        )
        self._server = LinkServer(
            self._make_link, on_down=lambda link: self._sidecar.post(LinkLost(link))
        )
        self._admin = HttpServer(AdminHandler(ring, self.status, self.begin_drain))

    async def start(self) -> None:
        """Bind the addresses and start the tasks."""
        listen = self._cfg.listen
        port = await self._server.start(listen.link.host, listen.link.port, self._tls)
        self.addresses["link"] = str(Address(listen.link.host, port))
        port = await self._admin.start(listen.admin.host, listen.admin.port)
        self.addresses["admin"] = str(Address(listen.admin.host, port))
        self._spawn(self._documents.run())
        self._spawn(self._sidecar.run())
        self._spawn(self._poll_load())

    def begin_drain(self) -> None:
        """Announce that the endpoint is leaving and give waiting work back."""
        if not self._draining:
            self._draining = True
            self._sidecar.post(DrainSidecar())

    def in_flight(self) -> int:
        """Return the number of streams that are not finished and delivered."""
        return self._sidecar.unfinished()

    async def close(self) -> None:
        """Stop at once."""
        await self._server.close()
        await self._cancel_tasks()
        await self._admin.abort()
        self._endpoint.close()

    def status(self) -> dict[str, Any]:
        """Return the state that operators ask for."""
        service = self._cfg.endpoint.service if self._cfg.endpoint else ""
        return {
            "instance": self._cfg.instance,
            "role": "sidecar",
            "zone": self._cfg.zone,
            "service": service,
            "draining": self._draining,
            "in_flight": self.in_flight(),
            "versions": self._documents.versions,
            "links": sorted(self._sidecar.links),
        }

    async def _poll_load(self) -> None:
        while True:
            try:
                load, taken_s = await self._endpoint.load(), time.monotonic()
                self._sidecar.post(LoadChanged(load, taken_s))
            except EndpointError:
                self._sidecar.post(LoadChanged(None, time.monotonic()))
            await asyncio.sleep(LOAD_POLL_S)

    def _make_link(self, conn: Connection) -> Link:
        hello = Hello(
            PROTOCOL_VERSION,
            self._cfg.instance,
            "sidecar",
            self._cfg.zone,
            "",
            self._process_start,
        )
        return Link(
            conn,
            hello,
            deliver=lambda link, msg: self._sidecar.post(LinkMessage(link, msg)),
            heartbeat=lambda: ("", list(self.ring.clock.tick())),
            heard=lambda link, digest, clock: observe(self.ring, clock),
        )
