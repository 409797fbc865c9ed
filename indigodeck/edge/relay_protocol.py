"""JSON-RPC with the relay: calls, their answers, and the events of a subscription. No I/O."""

from collections.abc import Sequence
from enum import StrEnum
from typing import Any, NamedTuple

from ..errors import MalformedMessageError
from .codec import order_fields
from .json_fields import pack, read_count, read_object
from .messages import Order

MAX_CALL_BYTES = 60_000  # of a call, all of its line: the relay rejects longer ones
SUBSCRIBE_ID = 0
UNREADABLE_CALL = "invalid"  # the error of a call, or of an order in it, that the relay can't read


class EventKind(StrEnum):
    """The events of a subscription; the values are the protocol's methods."""

    HEARTBEAT = "ping"
    PROXY_JOINED = "hello"
    PROXY_LEFT = "bye"
    ACK = "ack"


class Event(NamedTuple):
    """One event of a subscription. `method` may be one that this planner does not know."""

    method: str
    fields: dict[str, Any]


class CallResult(NamedTuple):
    """The answer to a call: how many orders were taken, or the relay's error."""

    accepted: int
    error: str | None


def subscribe_call() -> bytes:
    """Return the call that turns a connection into a subscription, as a line."""
    return pack({"jsonrpc": "2.0", "id": SUBSCRIBE_ID, "method": "subscribe"}) + b"\n"


def commit_call(number: int, orders: Sequence[Order]) -> bytes:
    """Return a call that carries orders, as a line."""
    return _commit_line(number, [order_fields(order) for order in orders])


def commit_overhead(number: int) -> int:
    """Return the bytes of a call's line apart from its orders."""
    return len(_commit_line(number, []))


def order_size(order: Order) -> int:
    """Return the bytes that an order adds to a call."""
    return len(pack(order_fields(order))) + 1


def read_call_result(data: bytes, number: int, order_count: int) -> CallResult:
    """Read the answer to call `number` with `order_count` orders.

    Raises
    ------
    MalformedMessageError
        If it can't be read, or answers another call.
    """
    message = read_object(data)
    answered_id = message.get("id")
    # JSON-RPC leaves the id out where the call could not be read; one call is in flight, so it is
    # that one.
    is_unattributed = "error" in message and message.get("id", number) is None
    if not is_unattributed and (answered_id != number or isinstance(answered_id, bool)):
        raise MalformedMessageError("an answer to another call")
    if "error" in message:
        return CallResult(0, _error_message(message["error"]))
    if not isinstance(message.get("result"), dict):
        raise MalformedMessageError("an answer without a result")
    return CallResult(read_count(message["result"], "accepted", order_count), None)


def read_event(data: bytes) -> Event | None:
    """Read a line of a subscription: an event, or None for the answer to the subscription itself.

    Raises
    ------
    MalformedMessageError
        If it is neither, or the subscription was rejected.
    """
    message = read_object(data)
    method = message.get("method")
    fields = message.get("params", {})
    if method is None:
        if "error" in message or message.get("result") is not True:
            raise MalformedMessageError("the subscription was rejected")
        return None
    if not isinstance(method, str) or not isinstance(fields, dict):
        raise MalformedMessageError("no notification")
    return Event(method, fields)


def _commit_line(number: int, orders: list[dict[str, Any]]) -> bytes:
    call = {"jsonrpc": "2.0", "id": number, "method": "commit", "params": {"ops": orders}}
    return pack(call) + b"\n"


def _error_message(error: Any) -> str:
    message = error.get("message") if isinstance(error, dict) else error
    if not isinstance(message, str):
        raise MalformedMessageError("an error without a message")
    return message
