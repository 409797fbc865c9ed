"""The JSON lines of collectors and health checks at the planner's own address. Does no I/O."""

from enum import StrEnum

from .json_fields import pack

HEALTH_CHECK_RESPONSE = b'{"type":"alive"}\n'  # to the platform's health check of the planner
MAX_ERROR_CHARACTERS = 100


class ClientMessageType(StrEnum):
    """The types of messages that clients send; the values are those on the wire."""

    HEALTH_CHECK = "probe"
    INTRODUCTION = "agent"
    OUTCOME_REPORT = "outcomes"
    DEMAND_REPORT = "demand"


def error_line(reason: str) -> bytes:
    """Return the error line that a client receives before it is disconnected."""
    return pack({"type": "error", "text": reason[:MAX_ERROR_CHARACTERS]}) + b"\n"
