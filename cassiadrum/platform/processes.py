"""Composition root of a gateway process on the platform."""

import asyncio
import logging
import signal
import time
from collections.abc import Collection
from pathlib import Path
from typing import Any, Final

from cassiadrum.gateways import Catalog, EndpointEntry, Fleet, Gateway, GatewaySettings
from cassiadrum.logs import RATE_LIMITED_FIELD
from cassiadrum.platform.call_codecs import PlatformProtocol
from cassiadrum.platform.crash_news import CrashFleetNews
from cassiadrum.platform.errors import BadSettings, StartFailed
from cassiadrum.platform.fleet_registrations import FleetRegistration
from cassiadrum.platform.fleet_sinks import FLEET_TABLE, FleetSink
from cassiadrum.platform.followed_tables import FollowedTable
from cassiadrum.platform.limit_news import LimitFleetNews
from cassiadrum.platform.node_settings import NodeSettings, load_node_settings
from cassiadrum.platform.origin_stores import RowOriginStore
from cassiadrum.platform.row_stores import RowStore
from cassiadrum.platform.store_followers import StoreFollower
from cassiadrum.platform.store_waits import StoreWaits
from cassiadrum.platform.table_sinks import (
    CONFIGURATION_TABLE,
    ENDPOINT_TABLE,
    ConfigurationSink,
    EndpointSink,
)
from cassiadrum.protocols import Exchange, HttpServer
from cassiadrum.settings.addresses import Address

__all__ = ["READY_PATH", "GatewayProcess"]

logger = logging.getLogger(__name__)

READY_PATH = "/-/ready"
METRICS_PATH = "/metrics"
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# After a store outage, endpoints renew registrations that expired meanwhile within 2 s.
STORE_RETURN_GRACE_S = 2.0
# The store drops a registration after three missed heartbeats; the fourth allows for delays.
REGISTRATION_EXPIRY_HEARTBEATS = 4
# Fraction of file descriptors for callers' connections; the rest is for endpoints and files.
CALLER_DESCRIPTORS_FRACTION = 0.6
# Fraction of memory for incomplete answers; each is copied once on completion.
ANSWERS_MEMORY_FRACTION = 1 / 12
# After SIGTERM, new connections still arrive until two readiness checks have failed.
ACCEPT_AFTER_SIGTERM_S = 2.6
# Last part of the grace time, before which all requests have ended. FINAL_ANSWERS_S of it are for
# their answers to leave, and the rest is for the process to exit before SIGKILL.
SHUTDOWN_MARGIN_S = 0.6
FINAL_ANSWERS_S = 0.3
SETTINGS_POLL_INTERVAL_S = 1.0
# Settings that take effect without a restart.
RELOADABLE_SETTINGS: Final = frozenset({"store", "bounds"})


class GatewayProcess:
    """A gateway with the platform's settings file, which runs until SIGTERM or SIGINT.

    Metrics are served on `metrics_port` of the machine's address, or not at all if it is None.
    """

    def __init__(self, path: Path, metrics_port: int | None = None) -> None:
        self._path = path
        self._metrics_port = metrics_port
        self._cfg = load_node_settings(path)
        waits = StoreWaits.from_bounds(self._cfg.bounds)
        self._fleet = Fleet(self._cfg.instance, waits.fleet_s, _boot_clock)
        self._origins = RowOriginStore(
            self._registered_endpoints, self._resumable_services, self._fleet, _boot_clock
        )
        self.gateway = Gateway(
            _gateway_settings(self._cfg),
            PlatformProtocol(),
            boot_clock=_boot_clock,
            fleet=self._fleet,
            origin_store=self._origins,
        )
        self.gateway.set_settings(self._cfg.digest, time.time())
        self._call_server = HttpServer(
            self.gateway.handle,
            connection_limit=int(self._cfg.descriptors * CALLER_DESCRIPTORS_FRACTION),
            on_unanswered=self.gateway.record_unanswered_connection,
        )
        self._readiness_server = HttpServer(self._handle_readiness)
        self._metrics_server = HttpServer(self._handle_metrics)
        self.gateway.configuration.on_catalog = self._apply_limits
        self._tasks: list[asyncio.Task[None]] = []
        # Tasks that use the store at its current address.
        self._store_tasks: list[asyncio.Task[None]] = []
        self._store: RowStore | None = None
        self._registration: FleetRegistration | None = None

    @property
    def instance(self) -> str:
        """Return the name of this process's machine."""
        return self._cfg.instance

    def _registered_endpoints(self, service: str) -> list[EndpointEntry]:
        return self.gateway.directory.registered(service)

    def _resumable_services(self) -> Collection[str]:
        return self.gateway.resumable_services

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish requests in flight; raise StartFailed.

        SIGHUP reloads the settings file.
        """
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stopping.set)
        loop.add_signal_handler(signal.SIGINT, stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        cfg = self._cfg
        await self._listen(cfg)
        self._restart_store_tasks(cfg)
        self._tasks = [
            asyncio.create_task(self.gateway.run()),
            asyncio.create_task(self._poll_settings_file()),
        ]
        logger.info("started in zone %s", cfg.zone)
        await stopping.wait()
        await self._shut_down()

    async def _listen(self, cfg: NodeSettings) -> None:
        servers = [(self._call_server, cfg.calls), (self._readiness_server, cfg.readiness)]
        if self._metrics_port is not None:
            servers.append((self._metrics_server, Address(cfg.host, self._metrics_port)))
        for server, address in servers:
            try:
                await server.start(address.host, address.port)
            except OSError as exc:
                raise StartFailed(f"cannot listen at {address}: {exc}") from exc

    def _restart_store_tasks(self, cfg: NodeSettings) -> None:
        """Follow the tables and register in the store at its current address."""
        self._cancel_store_tasks()
        configuration = FollowedTable(CONFIGURATION_TABLE, ConfigurationSink(self.gateway))
        endpoints = FollowedTable(ENDPOINT_TABLE, EndpointSink(self.gateway))
        news = [LimitFleetNews(self.gateway.limit_board), CrashFleetNews(self.gateway.crash_board)]
        fleet_sink = FleetSink(self._fleet, news, cfg.instance)
        fleet = FollowedTable(FLEET_TABLE, fleet_sink)
        store = self._connect(cfg)
        waits = StoreWaits.from_bounds(cfg.bounds)
        self._fleet.outdated_s = waits.fleet_s
        # Requests that wait for the endpoints then know their request limits.
        follower = StoreFollower(
            store, configuration, [endpoints, fleet], waits.change_s, first_tables=[fleet]
        )
        self._registration = FleetRegistration(
            store, self._fleet, news, fleet_sink, cfg.instance, _boot_clock
        )
        if self.gateway.draining:
            self._registration.expire_after(cfg.bounds.grace_s)
        self._store_tasks = [
            asyncio.create_task(follower.run()),
            asyncio.create_task(self._registration.run()),
            asyncio.create_task(self._origins.run(store)),
        ]

    def _connect(self, cfg: NodeSettings) -> RowStore:
        """Return the client of the store at its current address.

        A client of the same address is kept, as it knows the store's era: a follower that began
        without it would not notice a restore.
        """
        if self._store is None or self._store.address != cfg.store:
            if self._store is not None:
                self._store.close()
            self._store = RowStore(cfg.store, _boot_clock, cfg.link_bytes_per_s)
        return self._store

    def _cancel_store_tasks(self) -> None:
        for task in self._store_tasks:
            task.cancel()

    def _close_store(self) -> None:
        """Cancel the tasks that use the store, and close its idle connections."""
        self._cancel_store_tasks()
        if self._store is not None:
            self._store.close()

    def _apply_limits(self, catalog: Catalog) -> None:
        limits = catalog.limits
        self._call_server.set_limits(
            header_limit_bytes=limits.header_bytes,
            body_limit_bytes=limits.body_bytes,
            read_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )

    async def _handle_readiness(self, exchange: Exchange) -> None:
        known = exchange.req.path == READY_PATH
        status = 404 if not known else 200 if self.gateway.ready else 503
        await exchange.send(status, b"", "text/plain")

    async def _handle_metrics(self, exchange: Exchange) -> None:
        if exchange.req.path == METRICS_PATH:
            await exchange.send(200, self.gateway.render_metrics(), METRICS_TYPE)
        else:
            await exchange.send(404, b"", "text/plain")

    def _reload(self) -> None:
        """Reload the settings file; if it is invalid, the current settings stay in force."""
        try:
            cfg = load_node_settings(self._path)
        except BadSettings as exc:
            logger.error("invalid settings file, keeping the current settings: %s", exc)
            return
        changed = {name for name in cfg._fields if getattr(cfg, name) != getattr(self._cfg, name)}
        if not changed:
            return
        taken = changed & RELOADABLE_SETTINGS
        logger.info(
            "settings changed",
            extra={
                "taken": sorted(taken),
                "need_restart": sorted(changed - taken),
                "digest": f"{cfg.digest:08x}",
                RATE_LIMITED_FIELD: True,
            },
        )
        self._apply_settings({name: getattr(cfg, name) for name in taken})

    def _apply_settings(self, values: dict[str, Any]) -> None:
        """Apply changed settings without interrupting requests or connections."""
        self._cfg = self._cfg._replace(**values)
        self.gateway.reconfigure(_gateway_settings(self._cfg))
        self.gateway.set_settings(self._cfg.digest, time.time())
        if values:
            self._restart_store_tasks(self._cfg)

    async def _poll_settings_file(self) -> None:
        """Reload the settings when the file's modification time changes."""
        seen = _modified_ns(self._path)
        while True:
            await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
            changed = _modified_ns(self._path)
            if changed not in (seen, 0):
                seen = changed
                self._reload()

    async def _shut_down(self) -> None:
        """Stop accepting calls, wait for those in flight within the grace time, and close."""
        logger.info("shutting down")
        grace_s = self._cfg.bounds.grace_s - SHUTDOWN_MARGIN_S
        self.gateway.drain(grace_s)
        self._call_server.drain()
        if self._registration is not None:
            self._registration.expire_after(self._cfg.bounds.grace_s)
        try:
            async with asyncio.timeout(grace_s + FINAL_ANSWERS_S):
                await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
                await self._call_server.close()
        except TimeoutError:
            running = self._call_server.requests_in_flight
            logger.warning(
                "answers have not left in time, closing their connections",
                extra={"cut_requests": running},
            )
        await self._call_server.abort()
        await self._readiness_server.abort()
        await self._metrics_server.abort()
        for task in self._tasks:
            task.cancel()
        self._close_store()
        self.gateway.pool.close()
        logger.info("stopped", extra=self.gateway.drain_totals)


def _gateway_settings(cfg: NodeSettings) -> GatewaySettings:
    bounds = cfg.bounds
    waits = StoreWaits.from_bounds(bounds)
    return GatewaySettings(
        zone=cfg.zone,
        retry_ratio=bounds.retry_ratio,
        retry_spare=bounds.retry_spare,
        retry_window_s=bounds.retry_window_s,
        confirmation_limit_s=waits.confirmed_s,
        strict_keys=bounds.strict_keys,
        return_grace_s=STORE_RETURN_GRACE_S,
        answers_bytes=int(cfg.memory_bytes * ANSWERS_MEMORY_FRACTION),
        lapse_s=REGISTRATION_EXPIRY_HEARTBEATS * cfg.heartbeat_s + waits.change_s,
        contact_s=bounds.contact_s,
    )


def _boot_clock() -> float:
    """Return the seconds since boot, suspend included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _modified_ns(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0
