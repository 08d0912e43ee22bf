"""One engine sends an endless body in small chunks; requests to another service must go on."""

import asyncio
import time
from pathlib import Path

from support import Answer, Client, Engine, Gateway, Request, Trial, route, run, site

ROUTE_TIMEOUT_S = 1.0
# The rule's time after the route's timeout.
SLACK_S = 0.5
# Clients of the plain service would wait longer than its route allows.
CLIENT_TIMEOUT_S = 10.0
LOOKUPS_PER_S = 10
LOOKUPS = 200
CHUNK = b"1\r\nx\r\n"
CHUNKS_PER_WRITE = 8000


def make_routes() -> list[dict[str, object]]:
    """Return a route to model engines and one to a plain service."""
    return [
        route("status", "idempotent", "register", timeout_ms=int(ROUTE_TIMEOUT_S * 1000)),
        route(
            "draft",
            "stream",
            "desk",
            timeout_ms=12_000,
            goal_ms=2000,
            gap_target_ms=600,
            resumable=True,
            max_attempts=2,
            priority=0,
        ),
    ]


class Desk(Engine):
    """A model engine whose streams have five events, or one answer that does not end."""

    async def stream(self, req: Request, writer: asyncio.StreamWriter) -> None:
        """Answer with a complete stream."""
        writer.write(self._stream_head(req))
        for number in range(1, 6):
            event = f"id: {number}\ndata: {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")

    async def send_endless(self, req: Request, writer: asyncio.StreamWriter) -> None:
        """Send bytes that are no event until the caller closes; later answers are sound."""
        self.answer = self.stream
        self._trial.note(f"{self.name} begins an endless body for {req.request_id}")
        began_s = time.monotonic()
        writer.write(self._stream_head(req))
        try:
            while not writer.is_closing():
                writer.write(CHUNK * CHUNKS_PER_WRITE)
                await writer.drain()
        finally:
            took_s = time.monotonic() - began_s
            self._trial.note(
                f"{self.name}: the caller closed the endless body after {took_s:.1f} s"
            )
        raise ConnectionError

    def _stream_head(self, req: Request) -> bytes:
        kind = "content-type: text/event-stream"
        return self.head(req, 200, kind, "transfer-encoding: chunked")


async def look_up(trial: Trial, address: tuple[str, int], number: int) -> Answer:
    """Send one request to the plain service on a connection of its own."""
    client = Client(trial, address)
    answer = await client.request(
        "GET", "/status/1", f"lookup-{number}", timeout_s=CLIENT_TIMEOUT_S, patience_s=15.0
    )
    client.close()
    return answer


async def watch_readiness(trial: Trial, gateway: Gateway) -> None:
    """Ask once a second whether the gateway is ready, as the platform does."""
    while True:
        ready = await gateway.is_ready()
        trial.note(f"readiness within 1 s: {'200' if ready else 'no'}")
        await asyncio.sleep(1.0)


async def main(trial: Trial) -> int:
    """Send lookups throughout, and one draft after two seconds."""
    async with site(trial, make_routes()) as (store, (gateway,)):
        plain = [Engine(trial, store, f"register-{n}", "register") for n in (1, 2, 3)]
        desks = [Desk(trial, store, f"desk-{n}", "desk", slots=64) for n in (1, 2, 3)]
        for engine in (*plain, *desks):
            await engine.start()
        for desk in desks:
            desk.answer = desk.stream
        await gateway.start()
        await asyncio.sleep(1.0)
        watch = asyncio.create_task(watch_readiness(trial, gateway))
        lookups = []
        draft: asyncio.Task[Answer] | None = None
        for number in range(LOOKUPS):
            if number == 2 * LOOKUPS_PER_S:
                if trial.trouble:
                    for desk in desks:
                        desk.answer = desk.send_endless
                client = Client(trial, gateway.calls)
                draft = asyncio.create_task(
                    client.request("POST", "/draft/1", "draft-1", timeout_s=12.0, patience_s=1.0)
                )
                await asyncio.sleep(0.05)
                for desk in desks:
                    desk.answer = desk.stream
            lookups.append(asyncio.create_task(look_up(trial, gateway.calls, number)))
            await asyncio.sleep(1 / LOOKUPS_PER_S)
        answers = await asyncio.gather(*lookups)
        watch.cancel()
        if draft is not None:
            await draft
    took = [answer.ended_s - answer.sent_s for answer in answers]
    longer = [seconds for seconds in took if seconds > ROUTE_TIMEOUT_S]
    late = [seconds for seconds in longer if seconds > ROUTE_TIMEOUT_S + SLACK_S]
    broken = len(late) >= 8 and len(late) > len(longer) / 4
    return trial.finish(
        broken,
        f"{len(longer)} of {len(took)} lookups lasted longer than their route's timeout; "
        f"{len(late)} had no answer 0.5 s after it; the longest took {max(took):.2f} s",
    )


run(main, Path(__file__).parent)
