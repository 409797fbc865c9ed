"""The datagram socket over which planners exchange messages."""

import socket
from collections.abc import Callable, Sequence

from tornado.ioloop import IOLoop

from .connecting import address_family
from .event_log import EventLog
from .messages import Address

MAX_DATAGRAM_BYTES = 256  # the platform's rules forbid longer ones; one would end the run
MAX_CONSECUTIVE_READS = 64  # datagrams per callback, so that a flood does not block the loop


class PeerSocket:
    """A datagram socket to the planners at `peers`, which is indexed by planner number.

    `on_message(number, data)` is called for each datagram from one of them; other senders are
    ignored. `broadcast_address` reaches all planners.
    """

    def __init__(
        self,
        listen_address: Address,
        peers: Sequence[Address],
        broadcast_address: Address | None,
        on_message: Callable[[int, bytes], None],
        log: EventLog,
    ) -> None:
        self._peers = peers
        self._broadcast_address = broadcast_address
        self._on_message = on_message
        self._log = log
        self._numbers: dict[tuple[str, int], int] = {
            address: number for number, address in enumerate(peers)
        }
        self._socket = socket.socket(address_family(listen_address), socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(listen_address)
        IOLoop.current().add_handler(self._socket, self._read, IOLoop.READ)

    def send(self, peer: int | None, data: bytes) -> None:
        """Send a datagram to one planner, or to all if `peer` is None; it may be lost."""
        address = self._address_of(peer)
        if address is None or len(data) > MAX_DATAGRAM_BYTES:
            self._log("datagram_not_sent", peer=peer, bytes=len(data))
            return
        try:
            self._socket.sendto(data, address)
        except OSError as error:
            self._log("datagram_lost", peer=peer, error=error)

    def _address_of(self, peer: int | None) -> Address | None:
        if peer is None:
            return self._broadcast_address
        return self._peers[peer] if peer < len(self._peers) else None

    def _read(self, *_: object) -> None:
        for _read_number in range(MAX_CONSECUTIVE_READS):
            try:
                data, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                return
            number = self._numbers.get(source[:2])
            if number is not None and len(data) <= MAX_DATAGRAM_BYTES:
                self._on_message(number, data)
