"""A run of the load tool against a running site."""

import asyncio
import contextlib

from cassiadrum.events import merge_events
from cassiadrum.invariants import FleetRecord, check_record
from cassiadrum.loads.load_options import LoadOptions
from cassiadrum.loads.load_plans import LoadPlan
from cassiadrum.loads.load_reports import LoadReport
from cassiadrum.loads.load_senders import LoadSender
from cassiadrum.loads.process_readers import ProcessReader

__all__ = ["run_load", "send_load"]


def run_load(options: LoadOptions) -> LoadReport:
    """Send the load and return its report.

    Raises StoreUnavailable if the instance list is needed and cannot be read.
    """
    return asyncio.run(send_load(options))


async def send_load(options: LoadOptions) -> LoadReport:
    """Send the load from within a running event loop; see `run_load`."""
    mix = options.mix
    sender = LoadSender(options.entries, mix.documents, options.seed, standins=options.standins)
    plan = LoadPlan.from_mix(mix, options.seed, options.scale)
    if not options.instances:
        await sender.run(plan)
        return LoadReport.from_sender(sender, options.seed, mix.duration_s)
    reader = ProcessReader(options.instances, options.admin_token)
    wasted_before = await reader.read_wasted_tokens()
    reading = asyncio.create_task(reader.run())
    try:
        await sender.run(plan)
    finally:
        reading.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await reading
    await reader.read()
    record = FleetRecord(merge_events(reader.events), tuple(sender.outcomes), (), mix.documents)
    return LoadReport.from_sender(sender, options.seed, mix.duration_s)._replace(
        tokens_wasted=await reader.read_wasted_tokens() - wasted_before,
        missing_events=record.missing_events,
        violations=check_record(record),
        checked="events",
    )
