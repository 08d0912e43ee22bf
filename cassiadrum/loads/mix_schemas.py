"""Schemas of the TOML tables of a mix file."""

from typing import Annotated, NotRequired, TypedDict

from msgspec import Meta

__all__ = ["BurstTable", "ClassRateTable", "LoadTable", "MixTable"]

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Count = Annotated[int, Meta(ge=1, le=100_000)]
# Limits on rate, factor and duration prevent a typing error in a file from flooding a site.
Rate = Annotated[float, Meta(gt=0, le=100_000)]
Duration = Annotated[float, Meta(gt=0, le=3600)]

# Functional syntax, because `class` is a keyword.
MixTable = TypedDict(
    "MixTable",
    {"load": dict[str, object], "class": list[object], "burst": NotRequired[list[object]]},
)


class LoadTable(TypedDict):
    """The `[load]` table; the paths in `documents` are relative to the file."""

    documents: Annotated[list[str], Meta(min_length=1)]
    duration_s: Duration
    customers: NotRequired[Count]
    large_customers: NotRequired[Count]
    large_share: NotRequired[Annotated[float, Meta(ge=0, le=1)]]
    streamed_share: NotRequired[Annotated[float, Meta(ge=0, le=1)]]


class ClassRateTable(TypedDict):
    """One `[[class]]` table."""

    service: Name
    name: Name
    rate_per_s: Rate


class BurstTable(TypedDict):
    """One `[[burst]]` table: for `duration_s` the class arrives `factor` times as often."""

    service: Name
    name: Name
    start_s: Annotated[float, Meta(ge=0, le=3600)]
    duration_s: Duration
    factor: Annotated[float, Meta(gt=0, le=1000)]
