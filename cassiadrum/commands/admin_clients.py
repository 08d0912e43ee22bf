"""Client for the admin interface of one process."""

import json
from typing import Any, Final, NamedTuple

from cassiadrum.commands.arguments import parse_address
from cassiadrum.commands.credentials import TOKEN_VARIABLE, Credentials
from cassiadrum.commands.errors import CommandError
from cassiadrum.commands.exit_codes import ExitCode
from cassiadrum.protocols import (
    ConnectFailed,
    HttpClient,
    HttpError,
    TransferTimeout,
    upload_time_s,
)

__all__ = ["AdminAnswer", "AdminClient", "try_get"]

READ_TIMEOUT_S: Final = 2.0
# To resolve a write whose answer was lost, the accepting process pauses for up to 3.4 s in total
# and may run into several store timeouts of 2 s.
CHANGE_TIMEOUT_S: Final = 30.0


class AdminAnswer(NamedTuple):
    """Status and JSON object of an answer."""

    status: int
    body: dict[str, Any]


class AdminClient:
    """Client of one process; `address` is HOST:PORT."""

    def __init__(self, address: str) -> None:
        try:
            self._address = parse_address(address, "admin address")
        except CommandError as exc:
            # The address comes from the instance list, so a wrong one is not bad input.
            raise CommandError(ExitCode.UNREACHABLE, str(exc)) from exc

    async def get(self, path: str) -> dict[str, Any]:
        """Return the JSON object at a path; raise CommandError with UNREACHABLE or REFUSED."""
        try:
            answer = await self._send("GET", path, None, READ_TIMEOUT_S)
        except (HttpError, TimeoutError, ValueError) as exc:
            raise self._unreachable(exc) from exc
        if answer.status == 401:
            detail = f"{self._address}: the admin token was rejected; set {TOKEN_VARIABLE}"
            raise CommandError(ExitCode.REFUSED, detail)
        if answer.status != 200:
            raise self._unreachable(f"status {answer.status}")
        return answer.body

    async def send_change(self, method: str, path: str, body: dict[str, Any]) -> AdminAnswer:
        """Send a change and return the answer.

        Raises CommandError with UNREACHABLE if the change was certainly not sent, and with
        OUTCOME_UNKNOWN if no valid answer arrived.
        """
        try:
            return await self._send(method, path, body, CHANGE_TIMEOUT_S)
        except ConnectFailed as exc:
            raise self._unreachable(exc) from exc
        except (HttpError, TimeoutError, ValueError) as exc:
            detail = f"{self._address}: no answer to the change: {exc!r}"
            raise CommandError(ExitCode.OUTCOME_UNKNOWN, detail) from exc

    async def _send(
        self, method: str, path: str, body: dict[str, Any] | None, timeout_s: float
    ) -> AdminAnswer:
        credentials = Credentials.from_environment()
        client = HttpClient(self._address.host, self._address.port, tls=credentials.tls)
        data = b"" if body is None else json.dumps(body).encode()
        try:
            async with TransferTimeout(timeout_s + upload_time_s(len(data)), timeout_s) as limit:
                response = await client.request(method, path, credentials.headers(), data)
                return AdminAnswer(response.status, _decode_object(await limit.read(response)))
        finally:
            client.close()

    def _unreachable(self, reason: object) -> CommandError:
        text = str(reason) or "timed out waiting for an answer"
        return CommandError(ExitCode.UNREACHABLE, f"{self._address}: {text}")


def _decode_object(data: bytes) -> dict[str, Any]:
    found = json.loads(data)
    if not isinstance(found, dict):
        raise ValueError("the answer is not a JSON object")
    return found


async def try_get(address: str, path: str) -> dict[str, Any] | None:
    """Return the JSON object at a path of a process, or None if it does not answer."""
    try:
        return await AdminClient(address).get(path)
    except CommandError:
        return None
