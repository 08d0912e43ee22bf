"""The sidecar process, which runs beside one endpoint."""

import asyncio
import secrets
import time
from pathlib import Path
from typing import Any

from websockets.asyncio.connection import Connection

from cassiadrum.decisions import EndpointScheduler
from cassiadrum.defaults import LIMITS
from cassiadrum.endpoints import Endpoint, EndpointError
from cassiadrum.events import EventKind, EventRing
from cassiadrum.links import Link, LinkServer, TlsContexts
from cassiadrum.links.messages import PROTOCOL_VERSION, Hello, Message, Order
from cassiadrum.members import mean_connections
from cassiadrum.metrics import RoleMetrics
from cassiadrum.protocols import HttpServer
from cassiadrum.roles.admin_handlers import AdminHandler
from cassiadrum.roles.admin_tokens import AdminToken
from cassiadrum.roles.call_runners import CallRunner
from cassiadrum.roles.configuration_agents import ConfigurationAgent
from cassiadrum.roles.daemons import Daemon
from cassiadrum.roles.gauges import Gauges
from cassiadrum.roles.instance_list_pollers import InstanceListPoller
from cassiadrum.roles.once_only_guards import OnceOnlyGuard
from cassiadrum.roles.order_executors import OrderExecutor
from cassiadrum.roles.peer_clocks import observe_peer_clock
from cassiadrum.roles.sidecar_messages import (
    DrainSidecar,
    EndAllStreams,
    EntryLinkClosed,
    EntryMessage,
    LoadChanged,
)
from cassiadrum.roles.sidecars import Sidecar
from cassiadrum.settings import Address, Settings
from cassiadrum.states import ClaimService
from cassiadrum.stores import Instance

__all__ = ["SidecarDaemon"]

LOAD_POLL_INTERVAL_S = 0.25
SETTLE_INTERVAL_S = 1.0
# How long a stopping sidecar waits for the table service. A claim that is not settled by then
# reads as `unknown` after its deadline, so the call is still not run again.
SETTLE_TIMEOUT_S = 10.0


class SidecarDaemon(Daemon):
    """Daemon that runs the attempts of entry instances at one endpoint and executes orders."""

    def __init__(
        self,
        cfg: Settings,
        ring: EventRing,
        configurations: ConfigurationAgent,
        instances: InstanceListPoller,
        endpoint: Endpoint,
        scheduler: EndpointScheduler,
        claims: ClaimService,
        orders: OrderExecutor,
        metrics: RoleMetrics,
        tls: TlsContexts | None = None,
    ) -> None:
        super().__init__(ring, tls)
        self._cfg = cfg
        self._configurations = configurations
        self._instances = instances
        self._claims = claims
        self._orders = orders
        self._endpoint = endpoint
        token = AdminToken(Path(cfg.admin_token_file) if cfg.admin_token_file else None)
        self._draining = False
        self._process_start = secrets.token_hex(8)
        once_only_guard = OnceOnlyGuard(claims, ring)
        self._sidecar = Sidecar(
            endpoint, scheduler, lambda post: CallRunner(endpoint, once_only_guard, post), ring
        )
        instances.listeners.append(self._instances_changed)
        self._server = LinkServer(self._make_link, on_down=self._link_down)
        self._gauges = Gauges(
            metrics, "entry", configurations.registry.versions, self._queue_lengths
        )
        self._admin_handler = AdminHandler(
            ring, self.status, self.begin_drain, self._gauges.render, token.is_authorized
        )
        self._admin = HttpServer(self._admin_handler)

    async def start(self) -> None:
        """Bind the link and admin addresses and start the background tasks."""
        listen = self._cfg.listen
        http_tls = self._tls.http_server if self._tls else None
        port = await self._server.start(
            listen.link.host, listen.link.port, self._tls.link_server if self._tls else None
        )
        self.addresses["link"] = str(Address(listen.link.host, port))
        port = await self._admin.start(listen.admin.host, listen.admin.port, http_tls)
        self.addresses["admin"] = str(Address(listen.admin.host, port))
        self.ring.record(EventKind.PROCESS_STARTED)
        self._spawn(self.watch_tls())
        self._spawn(self._gauges.loop_delay.watch())
        self._spawn(self._configurations.run())
        self._spawn(self._instances.run())
        self._spawn(self._settle_claims())
        self._spawn(self._orders.run())
        self._spawn(self._sidecar.run())
        self._spawn(self._poll_load())

    def begin_drain(self) -> None:
        """Announce that the endpoint is leaving and reject the requests that wait."""
        if not self._draining:
            self._draining = True
            self._sidecar.post(DrainSidecar())

    def in_flight(self) -> int:
        """Return the number of streams that run or whose answer may still be fetched."""
        return self._sidecar.unfinished_count()

    def describe_in_flight(self) -> list[str]:
        """Return one line of text for each unfinished stream."""
        return self._sidecar.describe()

    def may_stop(self) -> bool:
        """Return whether all work is delivered and the entry instances send no more."""
        drained_s = self._sidecar.draining_for_s()
        if drained_s is None or self.in_flight():
            return False
        # An entry instance may have sent work before it received the announcement.
        entries_informed = not self._sidecar.links or drained_s >= LIMITS.LEAVING_LIMIT_S
        settled = not len(self._claims.pending) or drained_s >= SETTLE_TIMEOUT_S
        return entries_informed and settled

    def refuse_in_flight(self) -> None:
        """End every unfinished stream."""
        self._sidecar.post(EndAllStreams())

    async def close(self) -> None:
        """Close the links and stop all tasks without waiting for streams."""
        await self._server.close()
        await self._cancel_tasks()
        self.ring.record(EventKind.STOPPED)
        await self._admin_handler.wait_for_reader()
        await self._admin.abort()
        self._endpoint.close()

    def status(self) -> dict[str, Any]:
        """Return the state for the admin status endpoint."""
        service = self._cfg.endpoint.service if self._cfg.endpoint else ""
        return {
            "instance": self._cfg.instance,
            "role": "sidecar",
            "zone": self._cfg.zone,
            "service": service,
            "draining": self._draining,
            "in_flight": self.in_flight(),
            "versions": self._configurations.registry.versions(),
            "links": sorted(self._sidecar.links),
        }

    def _queue_lengths(self) -> dict[str, int]:
        service = self._cfg.endpoint.service if self._cfg.endpoint else ""
        return {service: self._sidecar.waiting_count()}

    async def _poll_load(self) -> None:
        while True:
            try:
                load, measured_s = await self._endpoint.load(), time.monotonic()
                self._sidecar.post(LoadChanged(load, measured_s))
            except EndpointError:
                # Idle connections to the same endpoint may be dead as well.
                self._endpoint.close()
                self._sidecar.post(LoadChanged(None, time.monotonic()))
            await asyncio.sleep(LOAD_POLL_INTERVAL_S)

    async def _settle_claims(self) -> None:
        while True:
            await asyncio.sleep(SETTLE_INTERVAL_S)
            if len(self._claims.pending):
                await self._claims.write_pending()

    def _instances_changed(self, listed: tuple[Instance, ...]) -> None:
        service = self._cfg.endpoint.service if self._cfg.endpoint else ""
        mean = mean_connections(listed, service, self._cfg.limits.subset_size)
        if mean:
            self._sidecar.connection_bound.mean = mean

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
            on_message=self._handle_message,
            heartbeat_payload=lambda: (
                self._configurations.digest(),
                list(self.ring.clock.tick()),
            ),
            on_heartbeat=self._handle_heartbeat,
            next_timestamp=lambda: list(self.ring.clock.tick()),
            observe_clock=lambda clock: observe_peer_clock(self.ring, clock),
        )

    def _handle_message(self, link: Link, msg: Message) -> None:
        if isinstance(msg, Hello):
            if msg.peer not in ("", self._cfg.instance):
                link.abort()
                return
            self._configurations.link_up(link)
            self._gauges.links.add(link)
        if isinstance(msg, Order):
            self._orders.post(link, msg)
        elif not self._configurations.handle_message(link, msg):
            self._sidecar.post(EntryMessage(link, msg))

    def _handle_heartbeat(self, link: Link, digest: str, clock: list[int]) -> None:
        observe_peer_clock(self.ring, clock)
        self._configurations.compare_digest(link, digest)

    def _link_down(self, link: Link) -> None:
        self._configurations.link_down(link)
        self._gauges.remove(link)
        self._sidecar.post(EntryLinkClosed(link))
