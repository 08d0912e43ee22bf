"""Tests of the harness that starts gateways as processes."""

from pathlib import Path

from cassiadrum.protocols import Exchange, HttpServer
from cassiadrum.tests.gateways.conftest import GatewaySubprocess, free_port


class TestListening:
    """Guards against a check that fails because another fault kills the gateway meanwhile."""

    async def check(self, server: HttpServer, tmp_path: Path) -> bool:
        port = await server.start("127.0.0.1", 0)
        try:
            run = GatewaySubprocess(tmp_path / "boot.json", free_port(), port, tmp_path / "log")
            return await run.listening()
        finally:
            await server.abort()

    async def test_process_that_ends_during_the_check_is_not_listening(
        self, tmp_path: Path
    ) -> None:
        async def abort(exchange: Exchange) -> None:
            exchange.abort()

        assert not await self.check(HttpServer(abort), tmp_path)

    async def test_process_that_is_not_ready_is_listening(self, tmp_path: Path) -> None:
        async def refuse(exchange: Exchange) -> None:
            await exchange.send(503, b"", "text/plain")

        assert await self.check(HttpServer(refuse), tmp_path)
