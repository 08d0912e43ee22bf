"""Log handler that passes records to a writer thread without blocking."""

import logging
import logging.handlers
import queue

__all__ = ["BoundedQueueHandler"]


class BoundedQueueHandler(logging.handlers.QueueHandler):
    """Queue up to `capacity` records; drop further ones and log how many were dropped."""

    def __init__(self, capacity: int) -> None:
        self.records: queue.Queue[logging.LogRecord] = queue.Queue(capacity)
        super().__init__(self.records)
        self._dropped_count = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record unformatted; the writer thread formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as dropped if the queue is full."""
        try:
            if self._dropped_count:
                self.records.put_nowait(self._make_dropped_record())
                self._dropped_count = 0
            self.records.put_nowait(record)
        except queue.Full:
            self._dropped_count += 1

    def _make_dropped_record(self) -> logging.LogRecord:
        return logging.makeLogRecord(
            {
                "name": __name__,
                "levelno": logging.WARNING,
                "levelname": "WARNING",
                "msg": f"{self._dropped_count} log lines left out: the log reader is too slow",
            }
        )
