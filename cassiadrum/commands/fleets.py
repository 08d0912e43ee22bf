"""Requests to the processes in the instance list."""

import asyncio
from collections.abc import Iterable, Mapping
from typing import Any, Final

from cassiadrum.commands.admin_clients import try_get
from cassiadrum.commands.errors import CommandError
from cassiadrum.commands.exit_codes import ExitCode
from cassiadrum.commands.platforms import Platform
from cassiadrum.stores import Instance, StoreUnavailable

__all__ = ["find_instance", "get_from_all", "list_instances"]

# Bounds the open connections of one command; the target size of a fleet is 9,600 processes.
MAX_CONCURRENT_REQUESTS: Final = 64


async def list_instances(platform: Platform) -> list[Instance]:
    """Return the instances sorted by role and name.

    Raises CommandError if the instance list cannot be read.
    """
    try:
        listed = await platform.instances().fetch()
    except StoreUnavailable as exc:
        raise CommandError(ExitCode.UNREACHABLE, f"instance list: {exc}") from exc
    return sorted(listed, key=lambda item: (item.role, item.instance))


async def find_instance(platform: Platform, name: str) -> Instance:
    """Return the instance with this name; raise CommandError if it is not listed."""
    for item in await list_instances(platform):
        if item.instance == name:
            return item
    raise CommandError(ExitCode.BAD_INPUT, f"no instance `{name}` in the instance list")


async def get_from_all(
    instances: Iterable[Instance], path: str | Mapping[str, str]
) -> dict[str, dict[str, Any] | None]:
    """Return the answers by instance name, None for each instance that does not answer.

    `path` is one path for all instances, or a mapping from instance names to paths.
    """
    slots = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def get_one(item: Instance) -> dict[str, Any] | None:
        async with slots:
            target = path if isinstance(path, str) else path[item.instance]
            return await try_get(item.admin_address, target)

    listed = list(instances)
    answers = await asyncio.gather(*(get_one(item) for item in listed))
    return {item.instance: answer for item, answer in zip(listed, answers, strict=True)}
