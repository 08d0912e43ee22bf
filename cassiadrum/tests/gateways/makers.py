"""Factories for the values that gateways process."""

from cassiadrum.gateways import (
    Call,
    CallKind,
    Catalog,
    Customer,
    EndpointEntry,
    KeyedAccess,
    PromptPart,
    RequestLimits,
    Route,
    ServiceSettings,
    Share,
)
from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.settings.addresses import Address

CACHE_TOKENS = 250_000


def make_call(request_id: str = "r1", prompt: tuple[PromptPart, ...] = ()) -> Call:
    tokens = sum(part.tokens for part in prompt)
    return Call(
        request_id=request_id,
        method="POST",
        target="/a/b",
        host="host.example",
        headers=(("host", "host.example"),),
        body=b"{}",
        key="key-1",
        timeout_s=5.0,
        prompt=prompt,
        prompt_tokens=tokens,
        max_output_tokens=100,
        last_event_id="",
        shared_parts=tuple(part.part_id for part in prompt[:-1]),
    )


def make_prompt(shared: str, number: int) -> tuple[PromptPart, ...]:
    return (PromptPart(shared, 13_000), PromptPart(f"own-{number}", 3_000))


def make_entry(instance: str, **changes: object) -> EndpointEntry:
    entry = EndpointEntry(
        instance=instance,
        service="drafts",
        address=Address("127.0.0.1", 9000),
        zone="a",
        slots=8,
        leaving=False,
        started_ms=1,
        cold_s=0.0,
        version="v1",
    )
    return entry._replace(**changes)  # type: ignore[arg-type]


def make_view(instance: str, **changes: object) -> EndpointView:
    return EndpointView(make_entry(instance, **changes), CACHE_TOKENS)


def make_route(**changes: object) -> Route:
    route = Route(
        name="drafts",
        host="host.example",
        prefix="/a/",
        kind=CallKind.STREAM,
        timeout_s=5.0,
        target_s=1.0,
        priority=2,
        shares=(Share("drafts", 1.0),),
        max_attempts=2,
        public=False,
        resumable=True,
        gap_s=0.1,
    )
    return route._replace(**changes)  # type: ignore[arg-type]


def make_catalog(*routes: Route, version: int = 1, keys: tuple[str, ...] = ("key-1",)) -> Catalog:
    return Catalog(
        version,
        routes or (make_route(),),
        (ServiceSettings("drafts", 64, 500_000),),
        KeyedAccess({key: Customer("customer", None) for key in keys}),
        RequestLimits(16_384, 1_000_000, 3.0, 15.0),
    )
