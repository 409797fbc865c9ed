"""Reserves ports of this machine for processes that a test starts later."""

import socket


class ReservedPorts:
    """Ports chosen by the kernel and reserved until `close`; works with `contextlib.closing`.

    The sockets are bound with SO_REUSEADDR but do not listen, so a controller can listen on its
    port while the kernel gives the port to no one else. A port that was only found to be free was
    sometimes taken by another connection before the controller started.
    """

    def __init__(self, count: int) -> None:
        self._sockets = [socket.socket() for _ in range(count)]
        for reserved in self._sockets:
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reserved.bind(("127.0.0.1", 0))
        self.numbers: list[int] = [reserved.getsockname()[1] for reserved in self._sockets]

    def close(self) -> None:
        """Release the ports."""
        for reserved in self._sockets:
            reserved.close()
