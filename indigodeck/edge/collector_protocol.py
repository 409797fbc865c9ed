"""What is said at the planner's own address: JSON lines of collectors and health checks. No I/O."""

from enum import StrEnum

from .json_fields import pack

HEALTH_CHECK_RESPONSE = b'{"type":"alive"}\n'  # the answer to the platform's health check
MAX_ERROR_CHARACTERS = 100


class ClientMessageType(StrEnum):
    """The types of messages that clients send; the values are the protocol's."""

    HEALTH_CHECK = "probe"
    INTRODUCTION = "agent"
    OUTCOME_REPORT = "outcomes"
    DEMAND_REPORT = "demand"


def error_line(reason: str) -> bytes:
    """Return the line that a client is sent before it is disconnected."""
    return pack({"type": "error", "text": reason[:MAX_ERROR_CHARACTERS]}) + b"\n"
