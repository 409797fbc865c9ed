"""The sockets to the relay: one for calls, two for news, so that one of them may break without anybody being missed."""

from tornado.gen import sleep
from tornado.ioloop import IOLoop
from tornado.locks import Event

from . import codec
from .codec import MalformedMessageError
from .dialling import LOST, SECOND, Pauses, dial, for_good, next_line, within

CONNECT = SECOND // 2
ANSWER = (
    SECOND // 5
)  # the relay answers within 50 ms or never; the rest is for this planner's own stalls
IDLE = SECOND  # the relay closes idle connections, and what is sent into that moment is lost
SILENCE = 3 * SECOND  # signs of life come every second
SUBSCRIPTIONS = 2


class Calls:
    """Sends what waits in `outbox` (outbox.py), one call at a time. `place`: (address, port), may change at any time."""

    def __init__(self, outbox, place, now, note, chance):
        self.outbox, self.place, self.now, self.note = outbox, place, now, note
        self.pauses, self.wanted, self.idle = Pauses(chance), Event(), Event()
        self.stream = self.dialled = None
        self.used_at = 0

    async def run(self):
        self.outbox.lost()  # begun anew after a fault: nobody knows what became of a call
        while True:
            wait = self.outbox.wait()
            if wait is None:
                self.wanted.clear()
                self.idle.set()
                await self.wanted.wait()
            elif wait:
                await sleep(wait / SECOND)
            else:
                await self._call()

    async def _call(self):
        try:
            stream = await self._connected()
        except LOST as error:
            self.note(f"the relay can't be reached: {error!r}")
            return await self.pauses.rest()
        try:
            # Made now, with what stands by now: much may have been ordered while the connection came up.
            await within(ANSWER, stream.write(self.outbox.call()))
            self.outbox.answered(await next_line(stream, ANSWER))
            self.pauses.over()
            self.used_at = self.now()
        except (*LOST, MalformedMessageError) as error:
            self.outbox.lost()
            stream.close()
            self.note(f"a call's answer is lost: {error!r}")
            await (
                self.pauses.rest()
            )  # what can't pass now would be written again as fast as this program can

    async def _connected(self):
        stale = self.dialled != self.place or self.now() - self.used_at > IDLE
        if self.stream is not None and (stale or self.stream.closed()):
            self.stream.close()
            self.stream = None
        if self.stream is None:
            place = self.place
            self.stream, self.dialled = await dial(place, CONNECT), place
        return self.stream


class Subscription:
    """One connection for news at one address, dialled again until it is retired. `whole()` is called with each sign of life."""

    def __init__(self, membership, desk, words, place, whole, note, chance):
        self.membership, self.desk, self.words, self.place, self.whole, self.note = (
            membership,
            desk,
            words,
            place,
            whole,
            note,
        )
        self.pauses, self.retired, self.ended, self.stream = Pauses(chance), False, False, None

    async def run(self):
        while not self.retired:
            try:
                self.stream = await dial(self.place, CONNECT)
                if self.ended:  # while it was dialling: there was no stream to close then
                    return
                await within(CONNECT, self.stream.write(codec.call(0, "subscribe")))
                await self._follow(self.stream)
            except (*LOST, MalformedMessageError) as error:
                self.note(f"news from {self.place[0]}:{self.place[1]} break off: {error!r}")
            finally:
                self.close()
                self.membership.closed(self)
            if not self.retired:
                await self.pauses.rest()

    def close(self):
        if self.stream is not None:
            self.stream.close()

    def end(self):
        """Its successors tell all that it told."""
        self.retired = self.ended = True
        self.close()

    async def _follow(self, stream):
        begun = False
        while True:
            data = await next_line(stream, SILENCE)
            kind, given = codec.notification(data)
            if not begun:
                begun = True
                self.membership.opened(self)
                self.pauses.over()
            if kind is not None:
                self._take(kind, given)

    def _take(self, kind, given):
        try:
            if kind == "ping":
                self.membership.alive(self)
                self.whole()
            elif kind == "hello":
                self.membership.hello(self, *self.words.hello(given))
            elif kind == "bye":
                self.membership.bye(self, self.words.bye(given))
            elif kind == "ack":
                self.desk.applied(*self.words.ack(given))
        except MalformedMessageError as error:
            self.note(f"{kind} passed over: {error}")


class RelayClient:
    """All of the way to the relay, and its moves to other addresses."""

    def __init__(self, outbox, membership, desk, words, now, note, chance):
        self.outbox, self.membership, self.desk, self.words, self.note = (
            outbox,
            membership,
            desk,
            words,
            note,
        )
        self.chance, self.subscriptions, self.former = chance, [], []
        self.calls = Calls(outbox, None, now, note, chance)

    def start(self, place):
        IOLoop.current().add_callback(for_good, self.calls.run, self.note)
        self.move(place)

    def move(self, place):
        """To another address. The old one closes by itself; until then its news bridge the beginning of the new."""
        if place == self.calls.place:
            return
        self.calls.place = place
        for subscription in self.subscriptions:
            subscription.retired = True
        self.former += self.subscriptions
        self.subscriptions = [
            Subscription(
                self.membership, self.desk, self.words, place, self._bridged, self.note, self.chance
            )
            for _ in range(SUBSCRIPTIONS)
        ]
        for subscription in self.subscriptions:
            IOLoop.current().add_callback(for_good, subscription.run, self.note)

    def _bridged(self):
        """What the former connections bridged is over. One that the relay leaves open, as after a move to and fro, would
        stay for good, and the relay holds so many of a planner's, no more.
        """
        if any(self.membership.has_whole(subscription) for subscription in self.subscriptions):
            for subscription in self.former:
                subscription.end()
            self.former = []

    def wanted(self):
        self.calls.idle.clear()
        self.calls.wanted.set()
