"""Admin token and TLS context of the command line."""

import os
import ssl
from collections.abc import Mapping
from pathlib import Path
from typing import Final, NamedTuple

from cassiadrum.commands.errors import CommandError
from cassiadrum.commands.exit_codes import ExitCode
from cassiadrum.protocols import Headers

__all__ = ["CA_VARIABLE", "TOKEN_VARIABLE", "Credentials"]

TOKEN_VARIABLE: Final = "CASSIADRUM_TOKEN_FILE"
CA_VARIABLE: Final = "CASSIADRUM_CA"


class Credentials(NamedTuple):
    """Bearer token of the admin interface and the TLS context, None for plain HTTP."""

    token: str = ""
    tls: ssl.SSLContext | None = None

    @classmethod
    def from_environment(cls, environment: Mapping[str, str] = os.environ) -> "Credentials":
        """Load the token file and the PEM file of the CA that environment variables name.

        They are not options, because a token on the command line is visible in the process list.
        Raises CommandError if a file cannot be read.
        """
        try:
            token = environment.get(TOKEN_VARIABLE, "")
            text = Path(token).read_text().strip() if token else ""
            ca = environment.get(CA_VARIABLE, "")
            return cls(text, _tls_context(ca) if ca else None)
        except (OSError, UnicodeDecodeError, ssl.SSLError) as exc:
            detail = f"{TOKEN_VARIABLE} or {CA_VARIABLE}: {exc}"
            raise CommandError(ExitCode.BAD_INPUT, detail) from exc

    def headers(self) -> Headers:
        """Return the authorization header, or no header without a token."""
        return (("authorization", f"Bearer {self.token}"),) if self.token else ()


def _tls_context(ca: str) -> ssl.SSLContext:
    context = ssl.create_default_context(cafile=ca)
    # Processes are addressed by IP address; any certificate signed by the CA is accepted.
    context.check_hostname = False
    return context
