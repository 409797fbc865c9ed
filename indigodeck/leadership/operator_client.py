"""An operator's questions to one controller, over the sealed messages of controllers."""

from typing import Any

from tornado.gen import with_timeout
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from . import message_codec
from .operator_server import OPERATOR

CONNECT_TIMEOUT = 2  # seconds
ANSWER_TIMEOUT = 3  # seconds


async def send_operator_request(
    address: tuple[str, int], key: bytes, kind: str, **fields: Any
) -> Any:
    """Return one controller's answer to an operator, by the request's kind and fields on the wire.

    One that speaks only an older version is asked in that.

    Raises
    ------
    OSError, StreamClosedError, DeadlineExceededError
        If the controller is not reached or does not answer in time.
    MessageRejectedError
        If its answer is none.
    """
    *newer, last = message_codec.versions_that_can_say(kind, fields)
    for version in newer:
        try:
            return await _send_in_version(address, key, version, kind, **fields)
        except StreamClosedError:
            continue
    return await _send_in_version(address, key, last, kind, **fields)


async def _send_in_version(
    address: tuple[str, int], key: bytes, version: int, kind: str, **fields: Any
) -> Any:
    stream = await TCPClient().connect(*address, timeout=CONNECT_TIMEOUT)
    try:
        await stream.write(message_codec.pack(key, OPERATOR, kind, version, **fields))
        deadline = IOLoop.current().time() + ANSWER_TIMEOUT
        head = await with_timeout(
            deadline, stream.read_bytes(message_codec.LENGTH_BYTES), StreamClosedError
        )
        rest = stream.read_bytes(message_codec.remaining_bytes(head))
        data = await with_timeout(deadline, rest, StreamClosedError)
        return message_codec.unpack(key, data, lambda name: True).fields["said"]
    finally:
        stream.close()
