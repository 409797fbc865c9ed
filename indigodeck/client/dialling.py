"""Following planners in turn, whichever protocol they speak: dial, follow until that breaks, wait, dial the next."""

import asyncio

from ..assignment.seeded_random import SeededRandom, seed_from
from .tables import ReconnectError, Unreachable

SECOND = 1_000_000


class Dialling:
    """What both clients do alike. One that is of this kind gives `_follow(place)`, which ends with an error;
    `_error(caught)`, the client's own error for it; and `_close()`, which ends what is left of the connection.

    `planners`: [(address, port), ..], or a call that gives them, asked at every dial; `failed(error)` is told of each loss.
    """

    losses = ()  # the errors that mean a lost planner; others are faults of this program

    def __init__(self, uid, planners, tables, patience, failed):
        self.tables, self.patience, self.failed = tables, patience, failed
        self.planners = planners if callable(planners) else lambda: planners
        self.chance = SeededRandom(seed_from(uid, []))
        self.redial, self.ended, self.dials = ReconnectError(self.chance), False, 0
        self.talk = self.stream = None

    async def run(self):
        while not self.ended:
            places, error = self.planners(), Unreachable("no planner is named")
            self.talk = None
            if places:
                try:
                    await self._follow(places[self.dials % len(places)])
                except self.losses as caught:
                    error = self._error(caught)
            self.dials += 1
            await self._close()
            if self.ended:
                return
            if self.failed:
                self.failed(error)
            if self.talk is not None and self.talk.brought:
                self.redial.held()
            await asyncio.sleep(self.redial.failed(len(places)) / SECOND)

    def leave(self):
        self.ended = True
        self.drop()
