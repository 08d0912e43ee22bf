"""The bearer token of the admin interface."""

import hmac
import logging
from pathlib import Path

__all__ = ["AdminToken"]

logger = logging.getLogger(__name__)

SCHEME_PREFIX = "bearer "


class AdminToken:
    """The bearer token in a file, which may be replaced at any time.

    Without a file every request is authorized; if the file is empty or unreadable, none is.
    """

    def __init__(self, path: Path | None) -> None:
        self._path = path
        self._file_state: tuple[int, int, int] | None = None
        self._token = b""

    def is_authorized(self, authorization: str) -> bool:
        """Return whether the value of an Authorization header contains the token."""
        if self._path is None:
            return True
        self._reload_if_changed(self._path)
        if not self._token or authorization[: len(SCHEME_PREFIX)].lower() != SCHEME_PREFIX:
            return False
        presented = authorization[len(SCHEME_PREFIX) :].strip().encode()
        return hmac.compare_digest(presented, self._token)

    def _reload_if_changed(self, path: Path) -> None:
        try:
            stat = path.stat()
            state = (stat.st_mtime_ns, stat.st_size, stat.st_ino)
            if state != self._file_state:
                self._token = path.read_bytes().strip()
                self._file_state = state
        except OSError as exc:
            if self._file_state is not None or self._token:
                logger.warning(
                    "admin token file cannot be read, rejecting all admin requests: %s",
                    exc.strerror,
                )
            self._token, self._file_state = b"", None
