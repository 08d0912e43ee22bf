"""The daemon of an entry instance."""

import asyncio
import contextlib
import secrets
from collections.abc import Callable
from pathlib import Path
from typing import Any

from websockets.asyncio.connection import Connection

from cassiadrum.events import EventKind, EventRing
from cassiadrum.links import Link, LinkDialer, TlsContexts
from cassiadrum.links.messages import (
    FETCH_ROLE,
    PROTOCOL_VERSION,
    Hello,
    LinkRefused,
    Message,
    OrderResult,
    Report,
)
from cassiadrum.members import Subset
from cassiadrum.metrics import RoleMetrics
from cassiadrum.protocols import HttpServer
from cassiadrum.roles.admin_handlers import AdminHandler
from cassiadrum.roles.admin_tokens import AdminToken
from cassiadrum.roles.answer_fetchers import LinkAnswerFetcher
from cassiadrum.roles.caller_handlers import CallerHandler
from cassiadrum.roles.configuration_agents import ConfigurationAgent
from cassiadrum.roles.configuration_handlers import ConfigurationHandler
from cassiadrum.roles.daemons import REFUSAL_DELIVERY_TIMEOUT_S, Daemon
from cassiadrum.roles.dispatcher_factories import DispatcherFactory
from cassiadrum.roles.fetch_links import FetchLinks
from cassiadrum.roles.gauges import Gauges
from cassiadrum.roles.instance_list_pollers import InstanceListPoller
from cassiadrum.roles.maintenance_factories import MaintenanceFactory
from cassiadrum.roles.member_links import MemberLinks
from cassiadrum.roles.peer_clocks import observe_peer_clock
from cassiadrum.roles.request_parsers import RequestParser
from cassiadrum.roles.router_messages import LinkClosed, ReceivedMessage, RefuseAll
from cassiadrum.roles.routers import Router
from cassiadrum.settings import Address, Settings
from cassiadrum.states import ConfigurationWriter
from cassiadrum.stores import Instance

__all__ = ["EntryDaemon"]


class EntryDaemon(Daemon):
    """Daemon that serves callers and keeps links to sidecars."""

    def __init__(
        self,
        cfg: Settings,
        ring: EventRing,
        configurations: ConfigurationAgent,
        instances: InstanceListPoller,
        dispatchers: DispatcherFactory,
        maintenance: MaintenanceFactory,
        writer: ConfigurationWriter,
        metrics: RoleMetrics,
        tls: TlsContexts | None = None,
    ) -> None:
        super().__init__(ring, tls)
        self._cfg = cfg
        self._configurations = configurations
        self._dispatchers = dispatchers
        configurations.on_applied = self._configure
        token = AdminToken(Path(cfg.admin_token_file) if cfg.admin_token_file else None)
        self._links_opened = 0
        self._process_start = secrets.token_hex(8)
        self._instances = instances
        service_by_instance: dict[str, str] = {}
        self._router = Router(dispatchers, lambda name: service_by_instance.get(name, ""), ring)
        self._members = MemberLinks(
            lambda size: Subset(cfg.instance, cfg.zone, size),
            cfg.limits.subset_size,
            self._make_dialer,
            self._router.post,
            lambda name: self._router.has_attempts(name) or self._fetcher.has_fetches(name),
            service_by_instance,
            ring,
        )
        instances.listeners.append(self._members.update_instances)
        self._claim_cleanup = maintenance.claim_cleanup(instances.entry_instances)
        self._orders = maintenance.order_manager(self._router, instances.entry_instances)
        self._router.on_report = self._orders.load_reported
        self._router.on_removed = self._orders.endpoint_removed
        self._fetcher = LinkAnswerFetcher(
            FetchLinks(self._router.links.get, self._make_fetch_dialer)
        )
        self._handler = CallerHandler(
            RequestParser(cfg.instance, configurations.document),
            self._router.post,
            self._fetcher,
            lambda: configurations.ready,
            metrics.count_refusal,
        )
        self._http = HttpServer(self._handler, on_unanswered=metrics.count_unanswered_connection)
        changes = ConfigurationHandler(writer, configurations, ring)
        self._gauges = Gauges(
            metrics, "sidecar", configurations.registry.versions, self._queue_lengths
        )
        self._admin_handler = AdminHandler(
            ring, self.status, self.begin_drain, self._gauges.render, token.is_authorized, changes
        )
        self._admin = HttpServer(self._admin_handler)

    async def start(self) -> None:
        """Bind the addresses and start the tasks."""
        listen = self._cfg.listen
        http_tls = self._tls.http_server if self._tls else None
        port = await self._http.start(listen.http.host, listen.http.port, http_tls)
        self.addresses["http"] = str(Address(listen.http.host, port))
        port = await self._admin.start(listen.admin.host, listen.admin.port, http_tls)
        self.addresses["admin"] = str(Address(listen.admin.host, port))
        self.ring.record(EventKind.PROCESS_STARTED)
        self._spawn(self.watch_tls())
        self._spawn(self._gauges.loop_delay.watch())
        self._spawn(self._configurations.run())
        self._spawn(self._instances.run())
        self._spawn(self._router.run())
        self._spawn(self._claim_cleanup.run())

    def begin_drain(self) -> None:
        """Refuse new requests and let those in flight finish."""
        if not self._handler.draining:
            self._handler.draining = True
            self._http.drain()
            self.ring.record(EventKind.DRAINING)

    def in_flight(self) -> int:
        """Return the number of requests that callers are waiting for."""
        return self._handler.active_requests

    def describe_in_flight(self) -> list[str]:
        """Return one line of text for each unanswered request."""
        return self._router.describe()

    async def wait_drained(self) -> None:
        """Wait for the answers in flight, then refuse the requests that have begun to arrive."""
        await super().wait_drained()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REFUSAL_DELIVERY_TIMEOUT_S):
                await self._http.close()

    def may_stop(self) -> bool:
        """Return whether every caller has received its answer."""
        return not self.in_flight()

    def refuse_in_flight(self) -> None:
        """Refuse every unanswered request."""
        self._router.post(RefuseAll())

    async def close(self) -> None:
        """Stop immediately."""
        await self._http.abort()
        await self._orders.close()
        await self._members.close()
        await self._cancel_tasks()
        self.ring.record(EventKind.STOPPED)
        await self._admin_handler.wait_for_reader()
        await self._admin.abort()

    def status(self) -> dict[str, Any]:
        """Return the state for `/admin/status` as a JSON object."""
        dispatchers = self._router.dispatchers.items()
        return {
            "instance": self._cfg.instance,
            "role": "entry",
            "zone": self._cfg.zone,
            "http_address": self.addresses.get("http", ""),
            "draining": self._handler.draining,
            "in_flight": self.in_flight(),
            "versions": self._configurations.registry.versions(),
            "links": sorted(self._router.links),
            "services": {
                name: {"queued": dispatcher.queued(), "running": dispatcher.running()}
                for name, dispatcher in dispatchers
            },
        }

    def _configure(self, service: str) -> None:
        self._dispatchers.configure(service)
        self._orders.configure(service)

    def _queue_lengths(self) -> dict[str, int]:
        return {name: dispatcher.queued() for name, dispatcher in self._router.dispatchers.items()}

    def _make_dialer(self, member: Instance) -> LinkDialer:
        return LinkDialer(
            member.link_address,
            lambda conn: self._make_member_link(conn, member.instance),
            on_down=lambda link: self._link_down(link, member.instance),
            tls=lambda: self._tls.link_client if self._tls else None,
        )

    def _make_fetch_dialer(
        self, instance: str, on_up: Callable[[Link], None]
    ) -> LinkDialer | None:
        def on_message(link: Link, msg: Message) -> None:
            if isinstance(msg, Hello):
                self._fetcher.link_up(instance, link)
                on_up(link)
            else:
                self._fetcher.handle_message(msg)

        member = self._members.member(instance)
        if member is None:
            return None
        return LinkDialer(
            member.link_address,
            lambda conn: self._make_link(conn, self._make_hello(instance, FETCH_ROLE), on_message),
            on_down=lambda link: None,
            tls=lambda: self._tls.link_client if self._tls else None,
        )

    def _make_member_link(self, conn: Connection, expected: str) -> Link:
        self._links_opened += 1
        return self._make_link(
            conn,
            self._make_hello(expected, "entry"),
            lambda link, msg: self._handle_message(link, msg, expected),
        )

    def _make_hello(self, peer: str, role: str) -> Hello:
        return Hello(
            PROTOCOL_VERSION,
            self._cfg.instance,
            role,
            self._cfg.zone,
            "",
            self._process_start,
            peer,
            self._links_opened,
        )

    def _make_link(
        self, conn: Connection, hello: Hello, on_message: Callable[[Link, Message], None]
    ) -> Link:
        return Link(
            conn,
            hello,
            on_message=on_message,
            heartbeat_payload=lambda: (
                self._configurations.digest(),
                list(self.ring.clock.tick()),
            ),
            on_heartbeat=self._handle_heartbeat,
            next_timestamp=lambda: list(self.ring.clock.tick()),
            observe_clock=lambda clock: observe_peer_clock(self.ring, clock),
        )

    def _handle_message(self, link: Link, msg: Message, expected: str) -> None:
        if isinstance(msg, Hello):
            if msg.instance != expected:
                link.abort()
                return
            self._members.link_up(expected, link)
            self._configurations.link_up(link)
            self._gauges.links.add(link)
            self._fetcher.link_up(expected, link)
        elif isinstance(msg, OrderResult):
            self._orders.order_finished(msg)
        elif isinstance(msg, Report):
            self._members.apply_report(expected, msg.leaving)
        elif isinstance(msg, LinkRefused):
            self._members.link_refused(expected)
            return
        if not self._configurations.handle_message(link, msg) and not self._fetcher.handle_message(
            msg
        ):
            self._router.post(ReceivedMessage(link, msg))

    def _handle_heartbeat(self, link: Link, digest: str, clock: list[int]) -> None:
        observe_peer_clock(self.ring, clock)
        self._configurations.compare_digest(link, digest)

    def _link_down(self, link: Link, instance: str) -> None:
        self._members.link_down(instance, link)
        self._configurations.link_down(link)
        self._gauges.remove(link)
        self._router.post(LinkClosed(link))
