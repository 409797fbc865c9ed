"""A network link to one port that can be blocked, or can truncate responses."""

import asyncio

READ_BYTES = 65536


class FaultyLink:
    """A TCP forwarder to a loopback port.

    While `blocked` is set, data in both directions is dropped, and connections stay open. If
    `response_bytes_left` is set, only that many more bytes of responses are forwarded.
    """

    def __init__(self, target_port: int) -> None:
        self.blocked = False
        self.response_bytes_left: int | None = None
        self._target_port = target_port
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, port: int = 0) -> int:
        """Accept connections and return the port; 0 lets the kernel choose one."""
        self._server = await asyncio.start_server(self._connect, "127.0.0.1", port)
        return self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            target = await asyncio.open_connection("127.0.0.1", self._target_port)
        except OSError:
            writer.close()
            return
        target_reader, target_writer = target
        self._writers |= {writer, target_writer}
        await asyncio.wait(
            [
                asyncio.ensure_future(self._copy(reader, target_writer, is_response=False)),
                asyncio.ensure_future(self._copy(target_reader, writer, is_response=True)),
            ]
        )
        self._writers -= {writer, target_writer}

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_response: bool
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if is_response:
                    data = self._truncate_response(data)
                if not self.blocked and data:
                    writer.write(data)
        except OSError:
            pass
        finally:
            writer.close()

    def _truncate_response(self, data: bytes) -> bytes:
        if self.response_bytes_left is None:
            return data
        forwarded = data[: self.response_bytes_left]
        self.response_bytes_left = max(0, self.response_bytes_left - len(data))
        return forwarded
