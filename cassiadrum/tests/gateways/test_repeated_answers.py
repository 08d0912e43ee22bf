"""Tests of an endpoint that writes an earlier answer again on a connection that is kept."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from cassiadrum.platform.headers import Header
from cassiadrum.tests.gateways.conftest import GatewaySubprocess
from cassiadrum.tests.gateways.sites import Caller, PlatformSite, poll_until
from cassiadrum.tests.gateways.test_hostile_endpoints import make_head, replace_plain_endpoints

pytestmark = pytest.mark.integration

# Number of the request at which the fault occurs; the connection has been used before.
FAULTY_REQUEST = 3


def own_answer(request_id: str) -> bytes:
    body = f"answer to {request_id}".encode()
    return make_head(request_id, f"content-length: {len(body)}") + b"\r\n" + body


def refusal(request_id: str | None, status: int = 503) -> bytes:
    """Return the promise that a request has not run, without an id if it is None."""
    named = "" if request_id is None else f"{Header.REQUEST_ID}: {request_id}\r\n"
    text = f"HTTP/1.1 {status} Busy\r\n{named}{Header.NOT_RUN}: 1\r\ncontent-length: 0\r\n\r\n"
    return text.encode()


Fault = Callable[["RepeatingEndpoint", str, asyncio.StreamWriter], Awaitable[None]]


class RepeatingEndpoint:
    """An endpoint that runs every request, and answers one of them as `fault` says."""

    def __init__(self, fault: Fault) -> None:
        self.runs: list[str] = []
        self.faulty_id = ""
        self.earlier_id = ""
        self._fault = fault

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of a connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                if not head.startswith("get /-/report"):
                    await reader.readexactly(2)
                request_id = head.partition(f"{Header.REQUEST_ID}: ")[2].partition("\r\n")[0]
                self.runs.append(request_id)
                if len(self.runs) == FAULTY_REQUEST:
                    self.faulty_id, self.earlier_id = request_id, self.runs[-2]
                    await self._fault(self, request_id, writer)
                else:
                    writer.write(own_answer(request_id))
        writer.close()


async def old_refusal_first(
    endpoint: RepeatingEndpoint, request_id: str, writer: asyncio.StreamWriter
) -> None:
    writer.write(refusal(endpoint.earlier_id) + own_answer(request_id))


async def old_refusal_in_parts(
    endpoint: RepeatingEndpoint, request_id: str, writer: asyncio.StreamWriter
) -> None:
    data = refusal(endpoint.earlier_id) + own_answer(request_id)
    for start in range(0, len(data), 30):
        writer.write(data[start : start + 30])
        await writer.drain()
        await asyncio.sleep(0.002)


async def old_answer_first(
    endpoint: RepeatingEndpoint, request_id: str, writer: asyncio.StreamWriter
) -> None:
    writer.write(own_answer(endpoint.earlier_id) * 2 + own_answer(request_id))


async def old_refusal_after(
    endpoint: RepeatingEndpoint, request_id: str, writer: asyncio.StreamWriter
) -> None:
    writer.write(own_answer(request_id) + refusal(endpoint.earlier_id))


async def old_refusal_later(
    endpoint: RepeatingEndpoint, request_id: str, writer: asyncio.StreamWriter
) -> None:
    writer.write(own_answer(request_id))
    await writer.drain()
    await asyncio.sleep(0.01)
    writer.write(refusal(request_id))


async def only_old_refusal(
    endpoint: RepeatingEndpoint, _: str, writer: asyncio.StreamWriter
) -> None:
    writer.write(refusal(endpoint.earlier_id))
    await writer.drain()
    writer.close()


async def only_old_misdirection(
    endpoint: RepeatingEndpoint, _: str, writer: asyncio.StreamWriter
) -> None:
    writer.write(refusal(endpoint.earlier_id, 421))
    await writer.drain()
    writer.close()


async def refusal_without_id(_: RepeatingEndpoint, __: str, writer: asyncio.StreamWriter) -> None:
    writer.write(refusal(None))


async def refusal_with_two_ids(
    endpoint: RepeatingEndpoint, request_id: str, writer: asyncio.StreamWriter
) -> None:
    named = f"{Header.REQUEST_ID}: {request_id}\r\n".encode()
    writer.write(refusal(endpoint.earlier_id).replace(b"\r\n", b"\r\n" + named, 1))


ANSWERED = [
    old_refusal_first,
    old_refusal_in_parts,
    old_answer_first,
    old_refusal_after,
    old_refusal_later,
]
UNANSWERED = [
    only_old_refusal,
    only_old_misdirection,
    refusal_without_id,
    refusal_with_two_ids,
]


@contextlib.asynccontextmanager
async def repeating_endpoint(
    site: PlatformSite, caller: Caller, fault: Fault
) -> AsyncIterator[RepeatingEndpoint]:
    """Replace the plain endpoints, and make calls until the one before the faulty one."""
    endpoint = RepeatingEndpoint(fault)
    async with await replace_plain_endpoints(site, endpoint.accept):

        async def registration_read() -> bool:
            return (await caller.call("/once/a"))[2].startswith(b"answer")

        await poll_until(registration_read)
        while len(endpoint.runs) < FAULTY_REQUEST - 1:
            assert (await caller.call("/once/a"))[0] == 200
        yield endpoint


class TestRepeatedAnswers:
    """Guards against an old answer that is taken for the answer to the next request.

    The caller of a request that runs would be told that it has not run and send it again, or the
    gateway would send it to a second endpoint.
    """

    @pytest.mark.parametrize("fault", ANSWERED, ids=lambda fault: fault.__name__)
    async def test_own_answer_is_found(
        self, site: PlatformSite, caller: Caller, fault: Fault
    ) -> None:
        async with repeating_endpoint(site, caller, fault) as endpoint:
            for number in range(3):
                status, _, body = await caller.call("/once/a", request_id=f"own-{number}")
                assert (status, body) == (200, f"answer to own-{number}".encode())
                await asyncio.sleep(0.02)
            assert endpoint.faulty_id == "own-0"
            assert [run for run in endpoint.runs if run.startswith("own")] == [
                "own-0",
                "own-1",
                "own-2",
            ]

    @pytest.mark.parametrize("fault", UNANSWERED, ids=lambda fault: fault.__name__)
    async def test_request_that_ran_is_not_refused(
        self, site: PlatformSite, caller: Caller, fault: Fault
    ) -> None:
        async with repeating_endpoint(site, caller, fault) as endpoint:
            site.register("p-2")
            status, _, _ = await caller.call("/once/a", request_id="own")
            assert status in (502, 504)
            assert endpoint.runs.count("own") + site.runs("own") == 1

    async def test_refusal_without_an_id_on_a_new_connection_is_no_promise(
        self, site: PlatformSite, caller: Caller, gateway: GatewaySubprocess
    ) -> None:
        runs = []

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                runs.append(head.partition(f"{Header.REQUEST_ID}: ")[2].partition("\r\n")[0])
                writer.write(refusal(None))
                await writer.drain()
            writer.close()

        async with await replace_plain_endpoints(site, accept):

            async def registration_read() -> bool:
                await caller.call("/once/a")
                return bool(runs)

            await poll_until(registration_read)
            status, _, _ = await caller.call("/once/a", request_id="own")
        assert (status, runs.count("own")) == (502, 1)
