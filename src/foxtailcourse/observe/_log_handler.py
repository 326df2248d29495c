"""Logging to standard output without blocking, with limits on rate and memory."""

import logging
import os
import threading
import time
from collections import deque

MAX_QUEUED_LINES = 8192
MAX_LINES_PER_S = 3000
BATCH_INTERVAL_S = 0.05
FLUSH_TIMEOUT_S = 0.5


class NonBlockingLogHandler(logging.Handler):
    """Logging handler that writes queued lines in a background thread.

    Logging never blocks the caller. If the reader of the file descriptor stalls, the
    queue fills up and further lines are dropped. Their number is logged as an event
    ``lines_dropped`` once lines can be written again.

    Parameters
    ----------
    fd : int
        File descriptor to write to.
    max_queued : int
        Most lines in the queue.
    max_per_s : int
        Most lines accepted in each second.

    Attributes
    ----------
    dropped : int
        Lines dropped since their number was last logged.
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
        self._current_second = 0
        self._lines_this_second = 0
        self.dropped = 0
        self._wakeup = threading.Event()
        self._closing = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record, or drop and count it."""
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second, self._lines_this_second = second, 0
        self._lines_this_second += 1
        if (
            self._lines_this_second > self._max_per_s
            or len(self._lines) >= self._max_queued
        ):
            self.dropped += 1
            return
        self._lines.append(record.getMessage())
        self._wakeup.set()

    def close(self) -> None:
        """Write the queued lines; gives up after FLUSH_TIMEOUT_S."""
        self._closing = True
        self._wakeup.set()
        self._thread.join(FLUSH_TIMEOUT_S)
        super().close()

    def _run(self) -> None:
        while True:
            self._wakeup.wait()
            if not self._closing:
                time.sleep(BATCH_INTERVAL_S)
            self._wakeup.clear()
            lines = [self._lines.popleft() for _ in range(len(self._lines))]
            dropped, self.dropped = self.dropped, 0
            if dropped:
                lines.append(f"event=lines_dropped count={dropped}")
            try:
                self._write("".join(f"{line}\n" for line in lines).encode())
            except OSError:
                # The reader has closed its end, so the error cannot be reported.
                return
            if self._closing and not self._lines:
                return

    def _write(self, data: bytes) -> None:
        while data:
            data = data[os.write(self._fd, data) :]
