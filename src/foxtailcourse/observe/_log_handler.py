"""Log lines on standard output, bounded and never waited for."""

import logging
import os
import threading
import time
from collections import deque

MAX_QUEUED_LINES = 8192
MAX_LINES_PER_S = 3000
BATCH_S = 0.05
FLUSH_TIMEOUT_S = 0.5


class NonBlockingLogHandler(logging.Handler):
    """Writes log records from a thread of its own.

    A reader that stalls fills the queue; further lines are dropped, counted and the
    count is written once there is room. The caller never waits.

    Parameters
    ----------
    fd : int
        File descriptor to write to.
    max_queued : int
        Lines kept while the reader stalls.
    max_per_s : int
        Lines taken in each second.
    """

    def __init__(
        self,
        fd: int,
        max_queued: int = MAX_QUEUED_LINES,
        max_per_s: int = MAX_LINES_PER_S,
    ) -> None:
        super().__init__()
        self._fd = fd
        self._max_queued = max_queued
        self._max_per_s = max_per_s
        self._lines: deque[str] = deque()
        self._second = 0
        self._taken = 0
        self.dropped = 0
        self._arrived = threading.Event()
        self._closing = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as dropped."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._taken = second, 0
        self._taken += 1
        if self._taken > self._max_per_s or len(self._lines) >= self._max_queued:
            self.dropped += 1
            return
        self._lines.append(record.getMessage())
        self._arrived.set()

    def close(self) -> None:
        """Write what is queued, unless the reader stalls."""
        self._closing = True
        self._arrived.set()
        self._thread.join(FLUSH_TIMEOUT_S)
        super().close()

    def _run(self) -> None:
        while True:
            self._arrived.wait()
            if not self._closing:
                time.sleep(BATCH_S)
            self._arrived.clear()
            lines = [self._lines.popleft() for _ in range(len(self._lines))]
            dropped, self.dropped = self.dropped, 0
            if dropped:
                lines.append(f"event=lines_dropped count={dropped}")
            try:
                self._write("".join(f"{line}\n" for line in lines).encode())
            except OSError:
                # Nobody reads standard output any more, so there is no one to tell.
                return
            if self._closing and not self._lines:
                return

    def _write(self, data: bytes) -> None:
        while data:
            data = data[os.write(self._fd, data) :]
