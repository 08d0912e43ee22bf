"""Age of the last confirmation that the configuration in force is the newest."""

__all__ = ["Confirmation"]


class Confirmation:
    """Date the store's answers on the boot-time clock of this machine.

    The store makes an answer after the call was sent, so no answer is older than its call. The
    largest difference between the time of a call and the store's date of its answer bounds the
    difference of the two clocks from below, and so dates an answer that was held up on its way
    never later than it was made. `limit_s` is the age in seconds up to which requests with a key
    may be served.
    """

    def __init__(self, limit_s: float) -> None:
        self.limit_s = limit_s
        self._offset_s: float | None = None
        self._confirmed_s: float | None = None

    def record_answer(self, store_s: float, sent_s: float, received_s: float) -> None:
        """Take an answer that the store dated `store_s`; the other times are boot-time seconds."""
        offset_s = sent_s - store_s
        # Beyond the difference at the arrival the bound is wrong: the store's clock was set
        # forward, or runs faster, so the difference has to be learned again.
        if self._offset_s is None or not offset_s <= self._offset_s <= received_s - store_s:
            self._offset_s = offset_s
        made_s = store_s + self._offset_s
        self._confirmed_s = max(made_s, self._confirmed_s or made_s)

    def age_s(self, now: float) -> float:
        """Return the age at a boot-time second, infinite before the first confirmation."""
        return float("inf") if self._confirmed_s is None else now - self._confirmed_s

    def valid(self, now: float) -> bool:
        """Return whether requests with a key may be served."""
        return self.age_s(now) <= self.limit_s
