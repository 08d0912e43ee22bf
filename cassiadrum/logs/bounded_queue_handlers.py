"""Handler that passes records to a thread and never waits for it."""

import logging
import logging.handlers
import queue

__all__ = ["BoundedQueueHandler"]


class BoundedQueueHandler(logging.handlers.QueueHandler):
    """Queue up to `limit` records; leave out what does not fit and say how many that were."""

    def __init__(self, limit: int) -> None:
        self.records: queue.Queue[logging.LogRecord] = queue.Queue(limit)
        super().__init__(self.records)
        self._left_out = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record as it is; the thread formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it."""
        try:
            if self._left_out:
                self.records.put_nowait(self._report())
                self._left_out = 0
            self.records.put_nowait(record)
        except queue.Full:
            self._left_out += 1

    def _report(self) -> logging.LogRecord:
        return logging.makeLogRecord(
            {
                "name": __name__,
                "levelno": logging.WARNING,
                "levelname": "WARNING",
                "msg": f"{self._left_out} log lines left out: the reader of the log is too slow",
            }
        )
