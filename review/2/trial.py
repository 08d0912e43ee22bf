"""A tenant loses its keys and is then removed; requests with its key must not run any more."""

import asyncio
import time
from pathlib import Path

from support import BOUNDS, KEY, Client, Engine, Trial, configuration, route, run, site

REVOKE_S = BOUNDS["revoke_ms"] / 1000
# Added to the bound, so that no request is sent close to it.
MARGIN_S = 0.5
STAGE_S = 8.0
INTERVAL_S = 0.25
UNKNOWN_KEY = "key-that-no-configuration-held"


async def send_for(
    trial: Trial, address: tuple[str, int], stage: str, seconds: float
) -> list[str]:
    """Send orders with the tenant's key and with an unknown one, and return their ids."""
    client = Client(trial, address)
    sent = []
    ends_s = time.monotonic() + seconds
    number = 0
    while time.monotonic() < ends_s:
        number += 1
        for name, key in (("tenant", KEY), ("unknown", UNKNOWN_KEY)):
            request_id = f"{stage}-{name}-{number}"
            sent.append(request_id)
            await client.request("POST", "/order/1", request_id, key=key)
        await asyncio.sleep(INTERVAL_S)
    client.close()
    return sent


async def main(trial: Trial) -> int:
    """Revoke the tenant's only key, remove the tenant, and send orders in each stage."""
    routes = [route("order", "non_idempotent", "register")]
    async with site(trial, routes) as (store, (gateway,)):
        engines = [Engine(trial, store, f"register-{n}", "register") for n in (1, 2, 3)]
        for engine in engines:
            await engine.start()
        await gateway.start()
        await send_for(trial, gateway.calls, "version-1", 3.0)
        late: list[str] = []
        if trial.trouble:
            store.put(
                "op", "config", configuration(routes, 2, [{"name": "tenant-1", "api_keys": []}])
            )
            trial.note("version 2 acknowledged: the tenant has no key")
            await asyncio.sleep(REVOKE_S + MARGIN_S)
            late += await send_for(trial, gateway.calls, "version-2", STAGE_S)
            store.put("op", "config", configuration(routes, 3, []))
            trial.note("version 3 acknowledged: the tenant is removed")
            late += await send_for(trial, gateway.calls, "version-3", STAGE_S)
        else:
            await send_for(trial, gateway.calls, "still-1", 2 * STAGE_S)
        runs = {request_id for engine in engines for request_id in engine.runs}
    revoked = [request_id for request_id in late if request_id in runs and "tenant" in request_id]
    unknown = [request_id for request_id in runs if "unknown" in request_id]
    return trial.finish(
        bool(revoked or unknown),
        f"of {len(late) // 2} orders sent over {REVOKE_S:g} s after their key was taken away, "
        f"{len(revoked)} ran; {len(unknown)} orders ran whose key no configuration ever held",
    )


run(main, Path(__file__).parent)
