"""Keeps a relay's tables up to date over SASP (RFC 4678), on Tornado's streams."""

from tornado.gen import sleep, with_timeout
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.util import TimeoutError as DeadlineExceededError

from ..frontends.sasp import codec
from .dialling import Dialling
from .tables import Malfunction, RejectedError, Unreachable


class Talk:
    """One connection as the relay sees it, free of I/O: what it asked, what came, what that means."""

    def __init__(self, uid, classes, members, tables, push=True):
        self.uid, self.classes, self.members = uid, classes, members
        self.tables, self.push = tables, push
        # Asked again soon at first, to learn how often the planner wants it.
        self.number, self.waiting, self.interval, self.brought = 0, {}, 1, False

    def opening(self):
        """The first messages: who this is, and what it wants weights for."""
        groups = [
            ((self.uid, name.encode()), [codec.Member.at(*where) for where in self.members])
            for name in self.classes
        ]
        yield codec.set_balancer(self._asks("who it is"), self.uid, 0x7F, self.push, True, True)
        yield codec.register(self._asks("its groups"), True, groups)

    def asking(self):
        """A request for all weights: what a relay that polls lives by, and a sign of life for others."""
        return codec.get_weights(
            self._asks("weights"), [(self.uid, name.encode()) for name in self.classes]
        )

    def _asks(self, what):
        self.number += 1
        self.waiting[self.number] = what
        return self.number

    def read(self, message):
        try:
            codec.dispatch(message, self)
        except codec.MalformedMessageError as error:
            raise Malfunction(str(error)) from error

    def answered(self, number, kind, code):
        what = self.waiting.pop(number, None)
        if what is None:
            raise Malfunction(f"an answer to {number}, which was not asked")
        if code != codec.DONE:
            raise RejectedError(f"{what}: {codec.MEANINGS.get(code, hex(code))}", code)

    def weights(self, number, code, interval, groups):
        self.answered(number, codec.WEIGHTS, code)
        self.interval = max(1, interval)
        self.sent_weights(number, groups)

    def sent_weights(self, number, groups):
        for (uid, name), entries in groups:
            name = name.decode("utf-8", "replace")
            # Weights may still be on their way for a group that was given up.
            if uid != self.uid or name not in self.classes:
                continue
            self.brought = True
            self.tables.told(
                name,
                [
                    (
                        entry.member.place(),
                        entry.weight,
                        bool(entry.flags & codec.CONFIDENT),
                        bool(entry.flags & codec.QUIESCED),
                    )
                    for entry in entries
                ],
            )

    def _unasked(self, *_):
        raise Malfunction("a request, sent to a relay")

    register = deregister = get_weights = set_balancer = set_members = _unasked


class SaspClient(Dialling):
    """Dials planners in turn and keeps tables up to date until `leave`."""

    losses = (StreamClosedError, DeadlineExceededError, OSError, RejectedError, Malfunction)

    def __init__(self, uid, planners, tables, members=(), push=True, patience=3.0, failed=None):
        super().__init__(uid, planners, tables, patience, failed)
        self.uid, self.members, self.push = uid.encode(), tuple(members), push

    @staticmethod
    def _error(caught):
        if isinstance(caught, (RejectedError, Malfunction)):
            return caught
        return Unreachable(str(caught) or "the planner stopped answering")

    async def _follow(self, place):
        loop = IOLoop.current()
        self.stream = await TCPClient().connect(
            *place, timeout=self.patience, max_buffer_size=4 << 20
        )
        self.stream.set_nodelay(True)
        talk = self.talk = Talk(
            self.uid, list(self.tables.lines), self.members, self.tables, self.push
        )
        self.tables.opened()
        for message in talk.opening():
            await self.stream.write(message)
        asker = loop.asyncio_loop.create_task(self._ask(talk))
        try:
            while True:
                # A planner that answers nothing it was asked, or stops within a message, is left.
                due = loop.time() + (
                    self.patience if talk.waiting else talk.interval + self.patience
                )
                message = await with_timeout(due, self._message(), StreamClosedError)
                talk.read(message)
        finally:
            asker.cancel()

    async def _message(self):
        head = await self.stream.read_bytes(codec.HEADER.size)
        try:
            whole, _ = codec.head(head, codec.Bounds())
        except codec.MalformedMessageError as error:
            raise Malfunction(str(error)) from error
        return head + await self.stream.read_bytes(whole - codec.HEADER.size)

    async def _ask(self, talk):
        """Asks at the planner's interval: relays that are pushed to learn so that it still lives."""
        try:
            while True:
                await sleep(talk.interval * (0.9 + self.chance.below(200) / 1000))
                if not talk.waiting:
                    await self.stream.write(talk.asking())
        except StreamClosedError:
            pass

    async def _close(self):
        self.drop()

    def drop(self):
        """Breaks the stream, as a network might; the client dials again."""
        if self.stream is not None:
            self.stream.close()
