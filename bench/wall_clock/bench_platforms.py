"""Platform stand-ins and daemon processes of the cost and capacity measurements."""

import time
import uuid

from bench.processes import ChildProcess, ProcessGroup
from cassiadrum.protocols import HttpClient
from cassiadrum.standins import InstanceListService, TableService
from cassiadrum.states import Accepted, ConfigurationWriter
from cassiadrum.stores import HttpInstanceList, HttpTableStore, Instance, StoreTransport

__all__ = ["DOCUMENTS", "BenchPlatform", "make_document"]

CONCURRENCY = 256


def make_document(name: str, kind: str, endpoints: int = 1) -> str:
    """Return a service document with one class and generous latency targets."""
    return (
        f'[service]\nname = "{name}"\nkind = "{kind}"\nowner = "bench"\nzones = ["z"]\n'
        f"endpoints = {endpoints}\n"
        '[[class]]\nname = "all"\ntier = 1\nidempotent = true\ntarget_first_token_s = 10.0\n'
        "target_inter_token_s = 1.0\ntarget_total_s = 10.0\n"
    )


DOCUMENTS = {
    "streams": make_document("streams", "model"),
    "calls": make_document("calls", "plain"),
}


class BenchPlatform:
    """The platform's stand-ins in this process and daemons as child processes."""

    def __init__(self, group: ProcessGroup) -> None:
        self.table = TableService()
        self.instances = InstanceListService()
        self._group = group
        self._platform_toml = ""
        self.table_address = ""
        self.instance_list_address = ""

    async def start(self, documents: dict[str, str]) -> None:
        """Start the stand-ins and write the documents to the table service."""
        self.table_address = f"127.0.0.1:{await self.table.start()}"
        self.instance_list_address = f"127.0.0.1:{await self.instances.start()}"
        self._platform_toml = (
            f'[platform]\ntable_service = "{self.table_address}"\n'
            f'instance_list = "{self.instance_list_address}"\n'
        )
        for service, text in documents.items():
            await self.write_document(service, text, 0)

    async def write_document(self, service: str, text: str, version: int) -> None:
        """Write a document based on the given version; raise RuntimeError if it is refused."""
        writer = ConfigurationWriter(HttpTableStore(_make_transport(self.table_address)))
        result = await writer.accept(service, text, version, uuid.uuid4().hex, "bench")
        if not isinstance(result, Accepted):
            raise RuntimeError(f"service document was not accepted: {result}")

    async def start_entry(self, instance: str, extra: str = "") -> ChildProcess:
        """Start and register an entry instance."""
        child = await self._group.start_daemon(
            f'role = "entry"\ninstance = "{instance}"\nzone = "z"\n{self._platform_toml}{extra}'
        )
        await self._register(Instance(instance, "entry", "", "z", "", child.startup_info["admin"]))
        return child

    async def start_sidecar(
        self, instance: str, service: str, kind: str, endpoint: str
    ) -> ChildProcess:
        """Start and register a sidecar of an endpoint."""
        child = await self._group.start_daemon(
            f'role = "sidecar"\ninstance = "{instance}"\nzone = "z"\n{self._platform_toml}'
            f'[endpoint]\nservice = "{service}"\nkind = "{kind}"\naddress = "{endpoint}"\n'
            f"[limits]\nconcurrency = {CONCURRENCY}\n"
        )
        link, admin = child.startup_info["link"], child.startup_info["admin"]
        await self._register(Instance(instance, "sidecar", service, "z", link, admin))
        return child

    async def close(self) -> None:
        """Stop the stand-ins."""
        await self.table.close()
        await self.instances.close()

    async def _register(self, instance: Instance) -> None:
        await HttpInstanceList(_make_transport(self.instance_list_address)).register(instance)


def _make_transport(address: str) -> StoreTransport:
    host, _, port = address.rpartition(":")
    return StoreTransport(HttpClient(host, int(port)), time.monotonic)
