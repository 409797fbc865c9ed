"""JSON-RPC with the relay: calls, their responses, and subscription events. Does no I/O."""

from collections.abc import Sequence
from enum import StrEnum
from typing import Any, NamedTuple

from ..errors import MalformedMessageError
from .codec import order_fields
from .json_fields import pack, read_count, read_object
from .messages import Order

MAX_CALL_BYTES = 60_000  # of the whole line: the relay rejects longer calls
SUBSCRIBE_ID = 0
UNREADABLE_CALL = "invalid"  # the relay's error for a call, or an order in it, that it can't read


class EventKind(StrEnum):
    """The events of a subscription; the values are the method names on the wire."""

    HEARTBEAT = "ping"
    PROXY_JOINED = "hello"
    PROXY_LEFT = "bye"
    ACK = "ack"


class Event(NamedTuple):
    """One event of a subscription; `method` may be unknown to this planner."""

    method: str
    fields: dict[str, Any]


class CallResult(NamedTuple):
    """The response to a call: how many orders were accepted, or the relay's error."""

    accepted: int
    error: str | None


def subscribe_call() -> bytes:
    """Return the line of the call that turns a connection into a subscription."""
    return pack({"jsonrpc": "2.0", "id": SUBSCRIBE_ID, "method": "subscribe"}) + b"\n"


def commit_call(number: int, orders: Sequence[Order]) -> bytes:
    """Return the line of a call that carries orders."""
    return _commit_line(number, [order_fields(order) for order in orders])


def commit_overhead(number: int) -> int:
    """Return the size in bytes of a call's line without its orders."""
    return len(_commit_line(number, []))


def order_size(order: Order) -> int:
    """Return the size in bytes that an order adds to a call."""
    return len(pack(order_fields(order))) + 1


def read_call_result(data: bytes, number: int, order_count: int) -> CallResult:
    """Parse the response to call `number`, which had `order_count` orders.

    Raises
    ------
    MalformedMessageError
        If it can't be parsed, or is the response to another call.
    """
    message = read_object(data)
    answered_id = message.get("id")
    # JSON-RPC leaves the id null if the call could not be parsed. As only one call is in flight,
    # the error belongs to that call.
    is_unattributed = "error" in message and message.get("id", number) is None
    if not is_unattributed and (answered_id != number or isinstance(answered_id, bool)):
        raise MalformedMessageError("the response is for another call")
    if "error" in message:
        return CallResult(0, _error_message(message["error"]))
    if not isinstance(message.get("result"), dict):
        raise MalformedMessageError("the response has neither a result nor an error")
    return CallResult(read_count(message["result"], "accepted", order_count), None)


def read_event(data: bytes) -> Event | None:
    """Parse a line of a subscription; return None for the response to the subscribe call.

    Raises
    ------
    MalformedMessageError
        If it can't be parsed, or the subscription was rejected.
    """
    message = read_object(data)
    method = message.get("method")
    fields = message.get("params", {})
    if method is None:
        if "error" in message or message.get("result") is not True:
            raise MalformedMessageError("the relay rejected the subscription")
        return None
    if not isinstance(method, str) or not isinstance(fields, dict):
        raise MalformedMessageError("not an event: method or params has the wrong type")
    return Event(method, fields)


def _commit_line(number: int, orders: list[dict[str, Any]]) -> bytes:
    call = {"jsonrpc": "2.0", "id": number, "method": "commit", "params": {"ops": orders}}
    return pack(call) + b"\n"


def _error_message(error: Any) -> str:
    message = error.get("message") if isinstance(error, dict) else error
    if not isinstance(message, str):
        raise MalformedMessageError("the relay's error has no message")
    return message
