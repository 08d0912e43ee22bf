"""Times at which callers that were refused for a request limit can be served."""

__all__ = ["ReturnSchedule"]


class ReturnSchedule:
    """The times of the next permitted requests of one service that refusals have given away.

    Callers that all returned at the next permitted request would all but one be refused again.
    More urgent ones take times of less urgent ones. Times are monotonic seconds.
    """

    def __init__(self) -> None:
        # Next free time by urgency; 0 is the most urgent.
        self._free_s: dict[int, float] = {}

    def reserve(
        self, urgency: int, now: float, wait_s: float, rate_per_s: float, longest_s: float
    ) -> float:
        """Return the seconds after which a caller should return.

        The next request is permitted in `wait_s` seconds and further ones at `rate_per_s`. A time
        beyond `longest_s`, after which the caller will not return, is not reserved.
        """
        taken_s = [free_s for other, free_s in self._free_s.items() if other <= urgency]
        return_s = max([now + wait_s, *taken_s])
        if rate_per_s > 0.0 and return_s - now <= longest_s:
            self._free_s[urgency] = return_s + 1 / rate_per_s
        return return_s - now
