"""The bearer token of the admin interface."""

import hmac
import logging
from pathlib import Path

__all__ = ["AdminToken"]

logger = logging.getLogger(__name__)

SCHEME = "bearer "


class AdminToken:
    """Compare tokens with the one in a file, which may be replaced at any time.

    Without a file every request passes; with one that cannot be read or is empty none does.
    """

    def __init__(self, path: Path | None) -> None:
        self._path = path
        self._state: tuple[int, int, int] | None = None
        self._token = b""

    def permits(self, authorization: str) -> bool:
        """Tell whether the value of an Authorization header carries the token."""
        if self._path is None:
            return True
        self._refresh(self._path)
        if not self._token or authorization[: len(SCHEME)].lower() != SCHEME:
            return False
        offered = authorization[len(SCHEME) :].strip().encode()
        return hmac.compare_digest(offered, self._token)

    def _refresh(self, path: Path) -> None:
        try:
            stat = path.stat()
            state = (stat.st_mtime_ns, stat.st_size, stat.st_ino)
            if state != self._state:
                self._token = path.read_bytes().strip()
                self._state = state
        except OSError as exc:
            if self._state is not None or self._token:
                logger.warning("admin token file cannot be read: %s", exc.strerror)
            self._token, self._state = b"", None
