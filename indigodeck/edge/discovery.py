"""The list of servers, watched at discovery's address.

Watches are short: a connection that falls silent is found out soon, and the agent they are asked of answers at no cost.
A list that turns the picture back, or leaves nothing of it, is asked for again before it is believed.
"""

from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.ioloop import IOLoop
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from ..planner.health_checks import authority
from .codec import MalformedMessageError, read_object
from .dialling import LOST, SECOND, Numbers, Pauses, for_good

PATH = "/catalog/members"
WAIT = SECOND  # of one watch; changes are told within it
LATE = SECOND  # above that, and for a whole list
LARGEST = 8 << 20
DOUBTS = 3  # times in a row that a doubtful list is asked for again


class Discovery:
    """`listed(catalog)` is called for each answer; `words`: the codec's."""

    def __init__(self, place, words, listed, note, chance, filled=False):
        self.place, self.words, self.listed, self.note, self.filled = (
            place,
            words,
            listed,
            note,
            filled,
        )
        self.pauses, self.turn = Pauses(chance), 0
        self.version, self.newest, self.doubts = (
            None,
            None,
            0,
        )  # version: what the next watch goes on from
        self.client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=4, max_body_size=LARGEST, resolver=Numbers()
        )

    def start(self):
        self.turn += 1
        turn = self.turn
        IOLoop.current().add_callback(for_good, lambda: self._run(turn), self.note)

    def move(self, place):
        """To another address: the whole list there first, whatever is under way at the old one."""
        if place != self.place:
            self.place, self.version = place, None
            self.start()

    def fetch(self):
        self.version = None

    async def _run(self, turn):
        while turn == self.turn:
            asked = self.version
            query = "" if asked is None else f"?after={asked}&wait_ms={WAIT // 1000}"
            patience = (LATE if asked is None else WAIT + LATE) / SECOND
            try:
                answer = await self.client.fetch(
                    HTTPRequest(
                        f"http://{authority(self.place)}{PATH}{query}",
                        connect_timeout=LATE / SECOND,
                        request_timeout=patience,
                    )
                )
                catalog = self.words.catalog(read_object(answer.body))
            except (*LOST, HTTPClientError, MalformedMessageError) as error:
                if turn == self.turn:
                    self.note(f"no list: {error!r}")
                    await self.pauses.rest()
                continue
            if turn != self.turn:
                # Written to this planner before it moved, so it counts as told. What the new address has said may be newer.
                if self.newest is None or catalog.version > self.newest:
                    self._take(catalog)
                return
            self.pauses.over()
            if self._doubtful(catalog):
                self.version = None
                await self.pauses.rest()
                continue
            if self.version == asked:  # else the whole list was asked for meanwhile
                self.version = catalog.version
            self._take(catalog)

    def _doubtful(self, catalog):
        """An older list may come from one that lags, and an empty one from one that has only begun: to believe either would
        let back what drains, or take every server away. One that says so again and again has begun anew.
        """
        older = self.newest is not None and catalog.version < self.newest
        emptied = catalog.whole and self.filled and not (catalog.entries or catalog.spoilt)
        if not (older or emptied):
            self.doubts = 0
            return False
        if catalog.whole:
            self.doubts += 1
            self.note(f"a list in doubt: version {catalog.version}, {len(catalog.entries)} servers")
        return not catalog.whole or self.doubts <= DOUBTS

    def _take(self, catalog):
        self.newest, self.doubts = catalog.version, 0
        if catalog.whole:
            self.filled = bool(catalog.entries or catalog.spoilt)
        if catalog.whole or catalog.entries:
            self.listed(catalog)
