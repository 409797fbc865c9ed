"""Log events: a snake_case event name with key=value fields, at a limited rate."""

import logging
from collections.abc import Mapping
from typing import Any, Protocol

MAX_LINES = 200  # per window, so that a repeated fault can't fill the platform's log
WINDOW_S = 10


class EventLog(Protocol):
    """Writes one event to the log."""

    def __call__(self, event: str, /, **fields: object) -> None:
        """Write `event` and its fields."""


def format_event(event: str, fields: Mapping[str, object]) -> str:
    """Return one line: the event, then its fields as key=value; values with spaces are quoted."""
    pairs = (f"{name}={_format_value(value)}" for name, value in fields.items())
    return " ".join((event, *pairs))


class LineRateFilter(logging.Filter):
    """Passes at most `MAX_LINES` records in each window of `WINDOW_S` seconds.

    The first record of the next window states how many were left out.
    """

    def __init__(self) -> None:
        super().__init__()
        self._window_start = 0.0
        self._lines = 0
        self._suppressed_lines = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write a record."""
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
    return repr(text) if not text or any(character.isspace() for character in text) else text
