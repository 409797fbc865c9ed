"""Where operators' commands reach a planner that has no other controllers: the same sealed messages, heard on a port of its own."""

from tornado.gen import with_timeout
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer
from tornado.util import TimeoutError as DeadlineExceededError

from . import messages

OPERATOR = "operator"
AT_ONCE = 64


async def next_message(stream):
    """What follows the length of the next message. It may be long in coming; once begun, it must end in time."""
    head = await stream.read_bytes(messages.HEAD)
    limit = IOLoop.current().time() + 5
    return await with_timeout(limit, stream.read_bytes(messages.length(head)), StreamClosedError)


class OperatorServer(TCPServer):
    """`service`: `await asked(wish)`, `note(event, **facts)`."""

    def __init__(self, service, key):
        super().__init__(max_buffer_size=4 * messages.LONGEST)
        self.service, self.key, self.open, self.port = service, key, 0, None

    def hear(self, port, address):
        sockets = bind_sockets(port, address)
        self.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]
        self.service.note("listening", front="operators", port=self.port)

    async def handle_stream(self, stream, address):
        if self.open >= AT_ONCE:
            return stream.close()
        self.open += 1
        try:
            while True:
                data = await next_message(stream)
                _, version, kind, fields = messages.unpack(
                    self.key, data, lambda name: name == OPERATOR
                )
                if kind != "versions":
                    raise messages.RejectedError(f"{kind!r} is for planners that share a fleet")
                said = await self.service.asked(fields["wish"])
                await stream.write(messages.pack(self.key, "planner", "answer", version, said=said))
        except messages.RejectedError as error:
            self.service.note("refused an operator", peer=address[0], why=str(error))
        except (StreamClosedError, DeadlineExceededError, OSError):
            pass
        finally:
            self.open -= 1
            stream.close()
