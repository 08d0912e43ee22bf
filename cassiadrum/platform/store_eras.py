"""The store's era, a number that increases with each restore from an older copy."""

import logging

__all__ = ["StoreEra"]

logger = logging.getLogger(__name__)

MAX_ERA_DIGITS = 18


class StoreEra:
    """The newest era seen in the store's answers.

    Versions can be compared only within one era.
    """

    def __init__(self) -> None:
        # None until an answer states an era.
        self.number: int | None = None
        self._unreadable_logged = False

    def observe(self, text: str) -> bool:
        """Record the era stated in an answer; return False if it may be older than the newest.

        An answer that states no era is taken to be of the newest era, since some stores never
        state one. An era that cannot be read may be any once another one was read.
        """
        if not _is_readable(text):
            self._log_unreadable(text)
            return not text or self.number is None
        era = int(text)
        if self.number is not None and era < self.number:
            return False
        self.number = era
        return True

    def _log_unreadable(self, text: str) -> None:
        """Log the first answer without a valid era; some stores never state one."""
        if not self._unreadable_logged:
            self._unreadable_logged = True
            level = logging.WARNING if text else logging.INFO
            logger.log(
                level, "no valid store-era header in the store's answer: %r", text[:MAX_ERA_DIGITS]
            )


def _is_readable(text: str) -> bool:
    return len(text) <= MAX_ERA_DIGITS and text.isascii() and text.isdecimal()
