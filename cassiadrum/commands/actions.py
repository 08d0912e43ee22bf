"""A command with its arguments, ready to run."""

from collections.abc import Awaitable, Callable

from cassiadrum.commands.outputs import Output
from cassiadrum.commands.platforms import Platform
from cassiadrum.commands.results import Result

__all__ = ["Action", "Session"]


class Session:
    """Give a command its output and the platform, which is looked up when first used."""

    def __init__(self, output: Output, platform: str = "") -> None:
        self.output = output
        self._platform = platform

    def platform(self) -> Platform:
        """Return the addresses; raise CommandError without them."""
        return Platform.resolve(self._platform)


class Action:
    """Hold what the command line asked for.

    The commands return an Action instead of doing their work, since fire reports arguments that
    it cannot use only after it has called the command.
    """

    def __init__(self, run: Callable[[Session], Awaitable[Result]]) -> None:
        self._run = run

    async def _start(self, session: Session) -> Result:
        return await self._run(session)


async def run_action(action: Action, session: Session) -> Result:
    """Run an action; raise CommandError when it fails."""
    return await action._start(session)
