"""TLS contexts whose certificates can be reloaded while the process runs."""

import logging
import os
import ssl
from pathlib import Path

from cassiadrum.links.errors import BadCertificate

__all__ = ["TlsContexts"]

logger = logging.getLogger(__name__)


class TlsContexts:
    """The TLS contexts of a process, which can be reloaded without a restart.

    `link_server` and `link_client` require a certificate of the CA from the peer, `http_server`
    does not. New connections use the files loaded last; open connections are not affected. Raises
    BadCertificate when the files cannot be loaded at the start.
    """

    def __init__(self, certificate: Path, key: Path, ca: Path) -> None:
        self._certificate = certificate
        self._key = key
        self._ca = ca
        state = self._file_versions()
        self._current_link_server, self._current_http_server, self.link_client = self._build()
        self._loaded_versions = state
        # A server keeps the context that it was started with. Its SNI callback switches each
        # handshake to the newest context, since a CA cannot be removed from a context.
        self.link_server, self.http_server, _ = self._build()
        self.link_server.sni_callback = self._select_link_server
        self.http_server.sni_callback = self._select_http_server

    def reload(self, *, changed_only: bool = True) -> bool:
        """Load the files again if they changed; keep the old contexts if loading fails.

        Returns whether new contexts are in use.
        """
        try:
            state = self._file_versions()
            if changed_only and state == self._loaded_versions:
                return False
            self._current_link_server, self._current_http_server, self.link_client = self._build()
        except (OSError, BadCertificate) as exc:
            logger.warning("certificate reload failed, keeping the previous one: %s", exc)
            return False
        self._loaded_versions = state
        logger.info("certificate reloaded from %s", self._certificate)
        return True

    def _select_link_server(
        self, conn: ssl.SSLObject, _name: str, _context: ssl.SSLContext
    ) -> None:
        conn.context = self._current_link_server

    def _select_http_server(
        self, conn: ssl.SSLObject, _name: str, _context: ssl.SSLContext
    ) -> None:
        conn.context = self._current_http_server

    def _build(self) -> tuple[ssl.SSLContext, ssl.SSLContext, ssl.SSLContext]:
        """Return new contexts for the link server, the HTTP server and the link client."""
        links = _new_context(ssl.PROTOCOL_TLS_SERVER, ssl.CERT_REQUIRED)
        callers = _new_context(ssl.PROTOCOL_TLS_SERVER, ssl.CERT_NONE)
        dial = _new_context(ssl.PROTOCOL_TLS_CLIENT, ssl.CERT_REQUIRED)
        try:
            for context in (links, callers, dial):
                context.load_cert_chain(self._certificate, self._key)
                context.load_verify_locations(self._ca)
        except (OSError, ssl.SSLError) as exc:
            # The text of the exception contains no key material.
            raise BadCertificate(f"{self._certificate}, {self._key}, {self._ca}: {exc}") from exc
        return links, callers, dial

    def _file_versions(self) -> tuple[tuple[int, int, int], ...]:
        """Return modification time, size and inode of each file, to detect changes."""
        try:
            stats = [os.stat(path) for path in (self._certificate, self._key, self._ca)]
        except OSError as exc:
            raise BadCertificate(str(exc)) from exc
        return tuple((stat.st_mtime_ns, stat.st_size, stat.st_ino) for stat in stats)


def _new_context(protocol: int, verify: ssl.VerifyMode) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    # Instances are reached by address, and the CA signs certificates of this site only.
    context.check_hostname = False
    context.verify_mode = verify
    return context
