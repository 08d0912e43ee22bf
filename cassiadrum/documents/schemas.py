"""TOML schema of a service document."""

from typing import Annotated, Literal, NotRequired, TypedDict

from msgspec import Meta

__all__ = ["ClassTable", "DocumentTable", "ServiceTable"]

Name = Annotated[
    str,
    Meta(
        pattern=r"^[a-z0-9][a-z0-9-]{0,62}$",
        description="lower-case letter or digit, then up to 62 of these or `-`",
    ),
]
Fraction = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(gt=0, le=86_400)]


class ServiceTable(TypedDict):
    """The `[service]` table."""

    name: Name
    kind: Literal["model", "plain"]
    owner: str
    zones: Annotated[list[str], Meta(min_length=1)]
    endpoints: Annotated[int, Meta(ge=1, le=100_000)]
    models: NotRequired[list[str]]


class ClassTable(TypedDict):
    """One `[[class]]` table."""

    name: Name
    tier: Annotated[int, Meta(ge=0, le=4)]
    protected: NotRequired[bool]
    idempotent: NotRequired[bool]
    once_only: NotRequired[bool]
    cancellable: NotRequired[bool]
    target_first_token_s: NotRequired[Seconds]
    target_inter_token_s: NotRequired[Seconds]
    target_total_s: NotRequired[Seconds]
    deadline_s: NotRequired[Seconds]
    max_wait_s: NotRequired[Seconds]
    min_share: NotRequired[Fraction]
    retry_budget: NotRequired[Fraction]
    hedge_budget: NotRequired[Fraction]
    methods: NotRequired[list[Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]]]
    path_prefix: NotRequired[
        Annotated[str, Meta(pattern=r"^/", description="text that begins with `/`")]
    ]


# The functional syntax is needed because `class` is a keyword.
DocumentTable = TypedDict("DocumentTable", {"service": dict[str, object], "class": list[object]})
