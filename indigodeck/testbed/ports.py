"""Ports of this machine that nobody else takes until a process of a test listens on them."""

import socket


class ReservedPorts:
    """Ports from the kernel, reserved until closed (see `contextlib.closing`).

    Their sockets are bound and do not listen: a controller can take its port and nobody else can.
    A port that was merely free a moment ago was taken by some other connection now and then.
    """

    def __init__(self, count: int) -> None:
        self._sockets = [socket.socket() for _ in range(count)]
        for reserved in self._sockets:
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reserved.bind(("127.0.0.1", 0))
        self.numbers: list[int] = [reserved.getsockname()[1] for reserved in self._sockets]

    def close(self) -> None:
        """Give the ports back."""
        for reserved in self._sockets:
            reserved.close()
