"""The list of servers, watched at discovery's address.

Watches are short: a connection that falls silent is found out soon, and the agent they are asked of answers at no cost.
"""
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.ioloop import IOLoop
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from ..planner.reach import authority
from .codec import Malformed, read_object
from .dialling import LOST, SECOND, Pauses, for_good

PATH = "/catalog/members"
WAIT = SECOND               # of one watch; changes are told within it
LATE = SECOND               # above that, and for a whole list
LARGEST = 8 << 20


class Discovery:
    """`listed(catalog)` is called for each answer; `words`: the codec's."""

    def __init__(self, place, words, listed, note, chance):
        self.place, self.words, self.listed, self.note = place, words, listed, note
        self.pauses, self.version, self.turn = Pauses(chance), None, 0
        self.client = SimpleAsyncHTTPClient(force_instance=True, max_clients=4, max_body_size=LARGEST)

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
                answer = await self.client.fetch(HTTPRequest(
                    f"http://{authority(self.place)}{PATH}{query}", connect_timeout=LATE / SECOND / 2, request_timeout=patience))
                catalog = self.words.catalog(read_object(answer.body))
            except (*LOST, HTTPClientError, Malformed) as error:
                if turn == self.turn:
                    self.note(f"no list: {error!r}")
                    await self.pauses.rest()
                continue
            if turn != self.turn:
                return
            self.pauses.over()
            if asked is not None and catalog.version < asked and not catalog.whole:
                self.version = None         # it began anew: what changed since is not to be had from it
                continue
            if self.version == asked:       # else the whole list was asked for meanwhile
                self.version = catalog.version
            if catalog.whole or catalog.entries:
                self.listed(catalog)
