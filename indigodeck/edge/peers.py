"""Datagrams between planners."""

import socket

from tornado.ioloop import IOLoop

from .dialling import family_of

LONGEST = 256  # a longer one would end the run
AT_ONCE = 64  # datagrams read in a row, so that a flood gives way to the rest


class Peers:
    """`told(number, data)` is called for what comes from a planner of the tier."""

    def __init__(self, bootstrap, told, note):
        self.peers, self.everyone, self.told, self.note = (
            bootstrap.peers,
            bootstrap.peers_all,
            told,
            note,
        )
        self.numbers = {place: number for number, place in enumerate(bootstrap.peers)}
        self.socket = socket.socket(family_of(bootstrap.peer_listen), socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind(bootstrap.peer_listen)
        IOLoop.current().add_handler(self.socket, self._read, IOLoop.READ)

    def _read(self, *_):
        for _ in range(AT_ONCE):
            try:
                data, source = self.socket.recvfrom(LONGEST + 1)
            except OSError:
                return
            number = self.numbers.get(source[:2])
            if number is not None and len(data) <= LONGEST:
                self.told(number, data)

    def tell(self, peer, data):
        place = (
            self.everyone if peer is None else self.peers[peer] if peer < len(self.peers) else None
        )
        if place is None or len(data) > LONGEST:
            return self.note(f"a datagram of {len(data)} bytes has nowhere to go")
        try:
            self.socket.sendto(data, place)
        except OSError as error:  # lost, as datagrams may be
            self.note(f"a datagram is lost: {error}")
