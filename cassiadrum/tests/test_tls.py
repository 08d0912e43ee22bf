"""Tests of TLS on links, callers' connections and the admin interface."""

import asyncio
import logging
import os
import signal
import ssl
import sys
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import pytest
import trustme

from cassiadrum.commands.admin_clients import AdminClient
from cassiadrum.commands.credentials import CA_VARIABLE, TOKEN_VARIABLE
from cassiadrum.commands.errors import CommandError
from cassiadrum.commands.exit_codes import ExitCode
from cassiadrum.links import BadCertificate, Link, LinkDialer, LinkServer, TlsContexts
from cassiadrum.links.messages import Hello, Message
from cassiadrum.protocols import Exchange, HttpClient, HttpServer
from cassiadrum.roles import build_daemon
from cassiadrum.roles.admin_tokens import AdminToken
from cassiadrum.settings import parse_settings
from cassiadrum.sites import LocalSite

EXAMPLES = Path(__file__).parents[2] / "examples"
LIMIT_S = 10.0
TOKEN = "a-token-that-must-not-be-logged"


class TlsFiles:
    """TLS files of a process; `write` replaces them atomically, as certificate managers do."""

    def __init__(self, path: Path) -> None:
        self.certificate, self.key, self.ca = (path / f"{n}.pem" for n in ("cert", "key", "ca"))

    def write(self, authority: trustme.CA) -> "TlsFiles":
        issued = authority.issue_cert("127.0.0.1")
        for path, blobs in (
            (self.certificate, issued.cert_chain_pems),
            (self.key, [issued.private_key_pem]),
            (self.ca, [authority.cert_pem]),
        ):
            new = path.with_suffix(".new")
            new.write_bytes(b"".join(blob.bytes() for blob in blobs))
            os.replace(new, path)
        return self

    def contexts(self) -> TlsContexts:
        return TlsContexts(self.certificate, self.key, self.ca)


@pytest.fixture
def files(tmp_path: Path) -> TlsFiles:
    return TlsFiles(tmp_path).write(trustme.CA())


def make_other_contexts(tmp_path: Path, authority: trustme.CA) -> TlsContexts:
    path = tmp_path / "other"
    path.mkdir(exist_ok=True)
    return TlsFiles(path).write(authority).contexts()


class HelloServer:
    """A link server that records the instances whose hello arrived."""

    def __init__(self, tls: TlsContexts) -> None:
        self.hellos: list[str] = []
        self.downs = 0
        self._tls = tls
        self._server = LinkServer(self.make("side"), on_down=lambda _: None)

    async def start(self) -> None:
        port = await self._server.start("127.0.0.1", 0, self._tls.link_server)
        self.address = f"127.0.0.1:{port}"

    def make(self, name: str) -> Callable[..., Link]:
        def deliver(_: Link, msg: Message) -> None:
            if isinstance(msg, Hello) and name == "side":
                self.hellos.append(msg.instance)

        return lambda conn: Link(
            conn,
            Hello(1, name, "", "z", ""),
            on_message=deliver,
            heartbeat_payload=lambda: ("", []),
            on_heartbeat=lambda *_: None,
        )

    def dialer(self, name: str, tls: Callable[[], ssl.SSLContext | None]) -> LinkDialer:
        return LinkDialer(self.address, self.make(name), on_down=lambda _: None, tls=tls)

    async def accepts(self, tls: Callable[[], ssl.SSLContext | None]) -> bool:
        """Return whether a dialer's hello arrives before its connection ends."""
        self.hellos.clear()
        dialing = asyncio.create_task(self.dialer("e", tls)._connect_once())
        async with asyncio.timeout(LIMIT_S):
            while not dialing.done() and not self.hellos:  # noqa: ASYNC110 - two tasks
                await asyncio.sleep(0.01)
        dialing.cancel()
        await asyncio.wait([dialing])
        return bool(self.hellos)

    async def close(self) -> None:
        await self._server.close()


@pytest.fixture
async def server(files: TlsFiles) -> AsyncIterator[HelloServer]:
    server = HelloServer(files.contexts())
    await server.start()
    yield server
    await server.close()


class TestTls:
    """Guards against links with untrusted peers, and against old keys that stay in force.

    Peers without a certificate of the CA have to be refused. After a rotation only the new files
    may count, unless they cannot be loaded.
    """

    async def test_only_certificates_of_the_own_ca_are_accepted(
        self, server: HelloServer, files: TlsFiles, tmp_path: Path
    ) -> None:
        trusted = files.contexts()
        untrusted = make_other_contexts(tmp_path, trustme.CA())
        without_certificate = ssl.create_default_context(cafile=str(files.ca))
        without_certificate.check_hostname = False
        assert await server.accepts(lambda: trusted.link_client)
        assert not await server.accepts(lambda: untrusted.link_client)
        assert not await server.accepts(lambda: without_certificate)
        assert not await server.accepts(lambda: None)

    async def test_rotation_replaces_certificate_and_ca(
        self, server: HelloServer, files: TlsFiles, tmp_path: Path
    ) -> None:
        new_ca = trustme.CA()
        old, new = files.contexts(), make_other_contexts(tmp_path, new_ca)
        assert not await server.accepts(lambda: new.link_client)
        files.write(new_ca)
        assert server._tls.reload()
        assert await server.accepts(lambda: new.link_client)
        assert not await server.accepts(lambda: old.link_client)
        assert not server._tls.reload()

    def test_files_that_do_not_fit_change_nothing(
        self, files: TlsFiles, caplog: pytest.LogCaptureFixture
    ) -> None:
        contexts = files.contexts()
        before = contexts.link_client
        key = files.key.read_bytes()
        files.key.write_bytes(key[:200])
        with caplog.at_level(logging.DEBUG):
            assert not contexts.reload()
            files.key.unlink()
            assert not contexts.reload(changed_only=False)
        assert contexts.link_client is before
        assert caplog.messages and key[60:100].decode() not in caplog.text
        with pytest.raises(BadCertificate):
            files.contexts()

    async def test_callers_are_served_over_tls_without_a_certificate(
        self, files: TlsFiles
    ) -> None:
        async def answer(exchange: Exchange) -> None:
            await exchange.send_json(200, {})

        http = HttpServer(answer)
        port = await http.start("127.0.0.1", 0, files.contexts().http_server)
        context = ssl.create_default_context(cafile=str(files.ca))
        response = await HttpClient("127.0.0.1", port, tls=context).request("GET", "/")
        async with asyncio.timeout(LIMIT_S):
            assert (response.status, await response.read()) == (200, b"{}")
        await http.abort()


class TestAdminToken:
    """Guards against an admin interface that is open or accepts a replaced token.

    The token file is replaced, emptied or removed while the process runs.
    """

    def test_only_the_token_passes(self, tmp_path: Path) -> None:
        path = tmp_path / "token"
        path.write_text(TOKEN + "\n")
        token = AdminToken(path)
        assert token.is_authorized(f"Bearer {TOKEN}")
        for wrong in ("", TOKEN, f"Basic {TOKEN}", "Bearer ", f"Bearer {TOKEN}x", "Bearer é"):
            assert not token.is_authorized(wrong)

    def test_replaced_token_file_takes_effect_at_once(self, tmp_path: Path) -> None:
        path = tmp_path / "token"
        path.write_text(TOKEN)
        token = AdminToken(path)
        assert token.is_authorized(f"Bearer {TOKEN}")
        path.write_text("another")
        assert token.is_authorized("Bearer another") and not token.is_authorized(f"Bearer {TOKEN}")
        path.write_text("")
        assert not token.is_authorized("Bearer ")
        path.unlink()
        assert not token.is_authorized("Bearer another")

    async def test_admin_interface_of_a_daemon_over_tls(
        self, files: TlsFiles, tmp_path: Path, caplog: pytest.LogCaptureFixture
    ) -> None:
        path = tmp_path / "token"
        path.write_text(TOKEN)
        settings = (
            f'role = "entry"\ninstance = "e"\nzone = "z"\nadmin_token_file = "{path}"\n'
            '[platform]\ntable_service = "127.0.0.1:1"\ninstance_list = "127.0.0.1:1"\n'
            f'[tls]\ncertificate = "{files.certificate}"\nkey = "{files.key}"\n'
            f'ca = "{files.ca}"\n'
        )
        daemon = build_daemon(parse_settings(settings))
        with caplog.at_level(logging.DEBUG):
            await daemon.start()
            port = int(daemon.addresses["admin"].rpartition(":")[2])
            context = ssl.create_default_context(cafile=str(files.ca))
            client = HttpClient("127.0.0.1", port, tls=context)
            statuses = []
            for value in ("Bearer wrong", f"Bearer {TOKEN}"):
                headers = (("authorization", value),)
                statuses.append((await client.request("GET", "/admin/status", headers)).status)
            files.write(trustme.CA())
            daemon.reload_tls()
            context = ssl.create_default_context(cafile=str(files.ca))
            client = HttpClient("127.0.0.1", port, tls=context)
            response = await client.request("POST", "/admin/drain")
            await daemon.close()
        assert [*statuses, response.status] == [401, 200, 401]
        assert TOKEN not in caplog.text


class TestSiteTls:
    """Guards against a site that does not work over TLS or admits untrusted peers.

    All connections of the site use TLS, and a signal makes a process reload its files.
    """

    async def test_request_passes_over_tls_and_links_refuse_untrusted_peers(
        self, files: TlsFiles, tmp_path: Path
    ) -> None:
        site = LocalSite([(EXAMPLES / "permit-register.toml").read_text()], entries=1)
        site._limits_table += (
            f'[tls]\ncertificate = "{files.certificate}"\nkey = "{files.key}"\nca = "{files.ca}"\n'
        )
        await site.start()
        try:
            port = int(site.entry_address().rpartition(":")[2])
            context = ssl.create_default_context(cafile=str(files.ca))
            client = HttpClient("127.0.0.1", port, tls=context)
            response = await client.request("GET", "/services/permit-register/permits/1")
            assert response.status == 200
            async with asyncio.timeout(LIMIT_S):
                assert await response.read()
            link = site.endpoints[0].sidecar.addresses["link"]
            untrusted = make_other_contexts(tmp_path, trustme.CA())
            hellos: list[Message] = []
            dialer = LinkDialer(
                link,
                lambda conn: Link(
                    conn,
                    Hello(1, "stranger", "entry", "z", ""),
                    on_message=lambda _, msg: hellos.append(msg),
                    heartbeat_payload=lambda: ("", []),
                    on_heartbeat=lambda *_: None,
                ),
                on_down=lambda _: None,
                tls=lambda: untrusted.link_client,
            )
            await dialer._connect_once()
            assert hellos == []
            assert site.endpoints[0].sidecar.status()["links"] == ["entry-1"]
        finally:
            await site.drain()
            await site.close()

    async def test_signals_of_a_daemon_process(self, files: TlsFiles, tmp_path: Path) -> None:
        settings = tmp_path / "entry.toml"
        settings.write_text(
            'role = "entry"\ninstance = "e"\nzone = "z"\n'
            '[platform]\ntable_service = "127.0.0.1:1"\ninstance_list = "127.0.0.1:1"\n'
            f'[tls]\ncertificate = "{files.certificate}"\nkey = "{files.key}"\n'
            f'ca = "{files.ca}"\n'
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cassiadrum.daemon",
            "--settings",
            str(settings),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        assert process.stdout and process.stderr
        try:
            async with asyncio.timeout(LIMIT_S):
                await process.stdout.readline()
                process.send_signal(signal.SIGHUP)
                while b"certificate reloaded" not in await process.stderr.readline():
                    pass
                process.send_signal(signal.SIGTERM)
                assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()


class TestCommandCredentials:
    """Guards against operators who cannot reach an admin interface with a token and TLS.

    The command line reads the CA and the token file from environment variables.
    """

    async def test_command_line_sends_its_token(
        self, files: TlsFiles, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        path = tmp_path / "token"
        path.write_text(TOKEN)
        token = AdminToken(path)

        async def handle(exchange: Exchange) -> None:
            permitted = token.is_authorized(exchange.req.header("authorization"))
            await exchange.send_json(200 if permitted else 401, {})

        server = HttpServer(handle)
        port = await server.start("127.0.0.1", 0, files.contexts().http_server)
        client = AdminClient(f"127.0.0.1:{port}")
        monkeypatch.setenv(CA_VARIABLE, str(files.ca))
        with pytest.raises(CommandError) as info:
            await client.get("/admin/status")
        assert info.value.code is ExitCode.REFUSED
        monkeypatch.setenv(TOKEN_VARIABLE, str(path))
        assert await client.get("/admin/status") == {}
        await server.abort()
