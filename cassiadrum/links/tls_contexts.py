"""TLS with certificates that change while the process runs."""

import logging
import os
import ssl
from pathlib import Path

from cassiadrum.links.errors import BadCertificate

__all__ = ["TlsContexts"]

logger = logging.getLogger(__name__)


class TlsContexts:
    """Hold the contexts of a process and put new files in force without a restart.

    `links` and `dial` require a certificate of the CA from the peer, `callers` does not. New
    connections use what was loaded last; open ones go on with theirs. Raises BadCertificate when
    the files cannot be loaded at the start.
    """

    def __init__(self, certificate: Path, key: Path, ca: Path) -> None:
        self._certificate = certificate
        self._key = key
        self._ca = ca
        self.links = _context(ssl.PROTOCOL_TLS_SERVER, ssl.CERT_REQUIRED)
        self.callers = _context(ssl.PROTOCOL_TLS_SERVER, ssl.CERT_NONE)
        self.dial = _context(ssl.PROTOCOL_TLS_CLIENT, ssl.CERT_REQUIRED)
        # Instances are dialled by address, and the CA signs the instances of this site only.
        self.dial.check_hostname = False
        self._loaded: tuple[tuple[int, int, int], ...] = ()
        self._load(self._state())

    def reload(self, *, changed_only: bool = True) -> bool:
        """Load the files again if they changed; keep the old ones while the new do not fit.

        Returns whether new ones are in force.
        """
        try:
            state = self._state()
            if changed_only and state == self._loaded:
                return False
            self._load(state)
        except (OSError, BadCertificate) as exc:
            logger.warning("certificate not reloaded: %s", exc)
            return False
        logger.info("certificate reloaded from %s", self._certificate)
        return True

    def _load(self, state: tuple[tuple[int, int, int], ...]) -> None:
        # A trial on another context, so that a certificate without its key changes nothing.
        try:
            for context in (_context(ssl.PROTOCOL_TLS_SERVER, ssl.CERT_NONE), *self._all()):
                context.load_cert_chain(self._certificate, self._key)
                context.load_verify_locations(self._ca)
        except (OSError, ssl.SSLError) as exc:
            # Neither message holds key material: OpenSSL names the file's fault only.
            raise BadCertificate(f"{self._certificate}, {self._key}, {self._ca}: {exc}") from exc
        self._loaded = state

    def _all(self) -> tuple[ssl.SSLContext, ...]:
        return self.links, self.callers, self.dial

    def _state(self) -> tuple[tuple[int, int, int], ...]:
        """Return what tells one version of the files from another."""
        try:
            stats = [os.stat(path) for path in (self._certificate, self._key, self._ca)]
        except OSError as exc:
            raise BadCertificate(str(exc)) from exc
        return tuple((stat.st_mtime_ns, stat.st_size, stat.st_ino) for stat in stats)


def _context(protocol: int, verify: ssl.VerifyMode) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    if verify is ssl.CERT_NONE:
        context.check_hostname = False
    context.verify_mode = verify
    return context
