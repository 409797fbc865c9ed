"""Client of operators, which sends requests to a controller as authenticated messages."""

from typing import Any

from tornado.gen import with_timeout
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from . import message_codec
from .operator_server import OPERATOR_SOURCE

CONNECT_TIMEOUT = 2  # seconds
ANSWER_TIMEOUT = 3  # seconds


async def send_operator_request(
    address: tuple[str, int], key: bytes, kind: str, **fields: Any
) -> Any:
    """Send an operator's request to one controller, and return its answer.

    `kind` and `fields` are those of the wire. The newest version of the protocol is tried first; a
    controller that supports only an older one closes the connection and is asked again in that.

    Raises
    ------
    OSError, StreamClosedError, DeadlineExceededError
        If the controller can't be reached or does not answer in time.
    MessageRejectedError
        If the answer is invalid.
    """
    *newer_versions, oldest = message_codec.encodable_versions(kind, fields)
    for version in newer_versions:
        try:
            return await _send_in_version(address, key, version, kind, **fields)
        except StreamClosedError:
            continue
    return await _send_in_version(address, key, oldest, kind, **fields)


async def _send_in_version(
    address: tuple[str, int], key: bytes, version: int, kind: str, **fields: Any
) -> Any:
    stream = await TCPClient().connect(*address, timeout=CONNECT_TIMEOUT)
    try:
        await stream.write(message_codec.pack(key, OPERATOR_SOURCE, kind, version, **fields))
        deadline = IOLoop.current().time() + ANSWER_TIMEOUT
        length_field = await with_timeout(
            deadline, stream.read_bytes(message_codec.LENGTH_BYTES), StreamClosedError
        )
        remainder = stream.read_bytes(message_codec.remaining_bytes(length_field))
        data = await with_timeout(deadline, remainder, StreamClosedError)
        return message_codec.unpack(key, data, lambda name: True).fields["said"]
    finally:
        stream.close()
