"""Log events: a snake_case verb with key=value facts, at a bounded pace."""

import logging
from collections.abc import Mapping
from typing import Any, Protocol

MAX_LINES = 200  # within one window, so that a fault that repeats can't fill the platform's log
WINDOW_S = 10


class EventLog(Protocol):
    """Writes one event to the log."""

    def __call__(self, event: str, /, **fields: object) -> None:
        """Write `event` and its facts."""


def format_event(event: str, fields: Mapping[str, object]) -> str:
    """Return one line: the event, then its facts as key=value; texts with spaces are quoted."""
    pairs = (f"{name}={_format_value(value)}" for name, value in fields.items())
    return " ".join((event, *pairs))


class LineRateFilter(logging.Filter):
    """Lets so many lines pass in each window, and says how many were left out."""

    def __init__(self) -> None:
        super().__init__()
        self._window_start = 0.0
        self._lines = 0
        self._suppressed_lines = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a record is written."""
        if record.created - self._window_start > WINDOW_S:
            if self._suppressed_lines:
                record.msg = f"{record.msg} left_out_lines={self._suppressed_lines}"
            self._window_start = record.created
            self._lines = 0
            self._suppressed_lines = 0
        self._lines += 1
        if self._lines > MAX_LINES:
            self._suppressed_lines += 1
        return self._lines <= MAX_LINES


def _format_value(value: Any) -> str:
    text = str(value)
    return repr(text) if not text or any(mark.isspace() for mark in text) else text
