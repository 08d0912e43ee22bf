"""Counting of the times that the store was restored from an older copy."""

import logging

__all__ = ["StoreEra"]

logger = logging.getLogger(__name__)

MAX_ERA_DIGITS = 18


class StoreEra:
    """Hold the newest era that the store stated in an answer; versions belong to an era."""

    def __init__(self) -> None:
        # None until the store states one.
        self.number: int | None = None
        self._unreadable_logged = False

    def observe(self, text: str) -> bool:
        """Take the era that an answer states; return False for an older one.

        An answer without a readable era counts as one of the newest era.
        """
        if not _is_readable(text):
            self._log_unreadable(text)
            return True
        era = int(text)
        if self.number is not None and era < self.number:
            return False
        self.number = era
        return True

    def _log_unreadable(self, text: str) -> None:
        """Log an answer without a readable era, once; a store may state none at all."""
        if not self._unreadable_logged:
            self._unreadable_logged = True
            level = logging.WARNING if text else logging.INFO
            logger.log(level, "the store states no readable era: %r", text[:MAX_ERA_DIGITS])


def _is_readable(text: str) -> bool:
    return len(text) <= MAX_ERA_DIGITS and text.isascii() and text.isdecimal()
