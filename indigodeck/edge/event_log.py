"""Log events: a snake_case verb with key=value facts, at a bounded pace."""

import logging
from collections.abc import Mapping
from typing import Any, Protocol

MAX_LINES = 200  # within one window, so that a fault that repeats can't fill the platform's log
WINDOW_S = 10


class EventLog(Protocol):
    """Writes one event to the log."""

    def __call__(self, event: str, /, **facts: object) -> None:
        """Write `event` and its facts."""


def format_event(event: str, facts: Mapping[str, object]) -> str:
    """Return one line: the event, then its facts as key=value; texts with spaces are quoted."""
    stated = (f"{name}={_format_value(value)}" for name, value in facts.items())
    return " ".join((event, *stated))


class LineRateFilter(logging.Filter):
    """Lets so many lines pass in each window, and says how many were left out."""

    def __init__(self) -> None:
        super().__init__()
        self._window_began = 0.0
        self._lines = 0
        self._left_out = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a record is written."""
        if record.created - self._window_began > WINDOW_S:
            if self._left_out:
                record.msg = f"{record.msg} left_out_lines={self._left_out}"
            self._window_began = record.created
            self._lines = 0
            self._left_out = 0
        self._lines += 1
        if self._lines > MAX_LINES:
            self._left_out += 1
        return self._lines <= MAX_LINES


def _format_value(value: Any) -> str:
    text = str(value)
    return repr(text) if not text or any(mark.isspace() for mark in text) else text
