"""Parsed commands and the session in which they run."""

from collections.abc import Awaitable, Callable

from cassiadrum.commands.outputs import Output
from cassiadrum.commands.platforms import Platform
from cassiadrum.commands.results import Result

__all__ = ["Action", "Session"]


class Session:
    """Output and platform of a command; the platform is resolved only when it is needed."""

    def __init__(self, output: Output, platform: str = "") -> None:
        self.output = output
        self._platform = platform

    def platform(self) -> Platform:
        """Return the platform addresses; raise CommandError if they are missing or invalid."""
        return Platform.resolve(self._platform)


class Action:
    """Deferred run of a command with its arguments.

    Commands return an Action instead of doing their work at once, because fire reports unusable
    arguments only after it has called the command.
    """

    def __init__(self, run: Callable[[Session], Awaitable[Result]]) -> None:
        self._run = run

    async def _start(self, session: Session) -> Result:
        return await self._run(session)


async def run_action(action: Action, session: Session) -> Result:
    """Run an action; raise CommandError if it fails."""
    return await action._start(session)
