"""Exit codes of `cassiadrum`."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """Exit codes for scripts; 1 is reserved for unhandled errors of the program itself."""

    OK = 0
    # Wrong arguments, or a file with errors; nothing was sent or changed.
    BAD_INPUT = 2
    # Refused, or another version is current; nothing was changed.
    REFUSED = 3
    # A process or store did not answer or is behind; a change that was accepted is durable.
    UNREACHABLE = 4
    # A change or call was sent and its outcome is not known.
    OUTCOME_UNKNOWN = 5
