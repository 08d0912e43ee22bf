"""HTTP callers for tests, one request each."""

import asyncio
import contextlib
import json
from typing import Any, NamedTuple

from cassiadrum.protocols import Headers, HttpClient, HttpError

__all__ = ["Answer", "StreamCaller", "call"]

CALL_TIMEOUT_S = 40.0


class Answer(NamedTuple):
    """Status, headers and body of an answer; `complete` is False if it was truncated."""

    status: int
    headers: Headers
    body: bytes
    complete: bool

    @property
    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object."""
        parsed: dict[str, Any] = json.loads(self.body)
        return parsed

    def header(self, name: str) -> str:
        """Return the first value of a header, empty if it is absent."""
        return next((value for key, value in self.headers if key == name), "")


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> Answer:
    """Send one request on its own connection; the status is 0 if no answer arrived."""
    caller = StreamCaller(address, method, target, headers, body)
    return await caller.answer()


class StreamCaller:
    """Send a request and collect its answer in the background."""

    def __init__(
        self,
        address: str,
        method: str,
        target: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> None:
        host, _, port = address.rpartition(":")
        self.body = b""
        self._client = HttpClient(host, int(port))
        self._status = 0
        self._headers: Headers = ()
        self._complete = False
        self._arguments = (method, target, tuple((headers or {}).items()), body)
        self._task = asyncio.create_task(self._run())

    @classmethod
    def completion(
        cls, address: str, prompt: str, max_tokens: int = 0, service: str = "sprachdienst"
    ) -> "StreamCaller":
        """Request a stream of tokens."""
        body: dict[str, object] = {"prompt": prompt, "stream": True}
        if max_tokens:
            body["max_tokens"] = max_tokens
        target = f"/services/{service}/v1/completions"
        return cls(address, "POST", target, {}, json.dumps(body).encode())

    @classmethod
    def chat(cls, address: str, prompt: str, service: str = "sprachdienst") -> "StreamCaller":
        """Request a stream of tokens by a chat completion."""
        body = {"messages": [{"role": "user", "content": prompt}], "stream": True}
        target = f"/services/{service}/v1/chat/completions"
        return cls(address, "POST", target, {}, json.dumps(body).encode())

    @property
    def request_id(self) -> str:
        """Return the request id of the answer, empty until its head has arrived."""
        return next((value for key, value in self._headers if key == "x-request-id"), "")

    @property
    def done(self) -> bool:
        """Return whether the answer has ended."""
        return self._task.done()

    async def answer(self) -> Answer:
        """Wait for the end of the answer."""
        async with asyncio.timeout(CALL_TIMEOUT_S):
            await self._task
        return Answer(self._status, self._headers, self.body, self._complete)

    async def disconnect(self) -> None:
        """Close the connection before the end of the answer."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _run(self) -> None:
        method, target, headers, body = self._arguments
        try:
            response = await self._client.request(method, target, headers, body)
            self._status, self._headers = response.status, response.headers
            async for data in response.body:
                self.body += data
            self._complete = True
        except HttpError:
            self._complete = False
        finally:
            self._client.close()
