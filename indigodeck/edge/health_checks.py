"""Probes of servers from this planner: its reach, with the load report as the answer's body."""

from collections import deque

from tornado.ioloop import IOLoop

from ..planner.health_checks import HttpReach
from .codec import MalformedMessageError, read_object
from .dialling import SECOND

PATH = "/_load"
PATIENCE = SECOND // 2
AT_ONCE, WAITING_MOST = 16, 256


class Reach(HttpReach):
    """`words`: the codec's."""

    def __init__(self, words):
        super().__init__({"probe_path": PATH}, None)
        self.words = words

    def report_in(self, answer):
        try:
            return (
                self.words.load(read_object(answer.body))
                if answer.code == 200 and answer.body
                else None
            )
        except MalformedMessageError:
            return None


class Probes:
    """`probed(asked, outcome, took, load)` is called once for each; what is over the bounds was never answered."""

    def __init__(self, words, now, probed):
        self.reach, self.now, self.probed = Reach(words), now, probed
        self.waiting, self.under_way = deque(), 0

    def ask(self, asked, dial):
        if len(self.waiting) >= WAITING_MOST:
            late, _ = self.waiting.popleft()
            IOLoop.current().add_callback(self.probed, late, "silent", PATIENCE, None)
        self.waiting.append((asked, dial))
        if self.under_way < AT_ONCE:
            self.under_way += 1
            IOLoop.current().add_callback(self._run)

    async def _run(self):
        try:
            while self.waiting:
                asked, dial = self.waiting.popleft()
                begun = self.now()
                try:
                    outcome, load = await self.reach.exchange(dial, PATIENCE / SECOND)
                except Exception:  # a probe that is never answered would be the server's last
                    outcome, load = "error", None
                self.probed(asked, outcome, self.now() - begun, load)
        finally:
            self.under_way -= 1
