"""A fleet's member on a thread of its own, so that a planner that is busy for a moment keeps its lease.

At 303 relays a list of changes kept a planner's loop for 0.3 s and what it ordered for as long again; leases of 0.6 s
ran out amid a release, on a quiet machine, and for seconds nobody was elected, as all were as busy: drains came too
late (docs/takeover.md). Renewing is a matter of milliseconds, so it has a loop of its own. A planner that hangs for good
must not stay in charge for that: its loop is heard of here, and `Charge` renews nothing for one that is silent.

What the planner asks as bytes leave (`Charge.holds`) is read across: the member changes a bid so that it is never held
with another's epoch or time, and every loss is at once `held = False`.
"""

import asyncio
import concurrent.futures
import threading

from tornado.ioloop import IOLoop, PeriodicCallback

ENDING = 0.1  # seconds for what is handed over to leave


class MemberThread:
    """`service` as `peers.Peers` wants it, but for `silent`, on the loop that makes this; `make(surroundings)` gives the
    Peers on the thread's own loop, and may raise what it likes. `lease`: microseconds.
    """

    def __init__(self, service, make, lease):
        self.service, self.make, self.main, self.loop = service, make, IOLoop.current(), None
        self.turned_at = service.now()
        self.turning = PeriodicCallback(self._turn, lease / 16_000)
        self.turning.start()
        made = concurrent.futures.Future()
        self.thread = threading.Thread(target=self._run, args=(made,), name="takeover", daemon=True)
        self.thread.start()
        self.peers = made.result()
        self.charge = self.peers.charge

    def _run(self, made):
        asyncio.set_event_loop(asyncio.new_event_loop())
        self.loop = IOLoop.current()
        try:
            made.set_result(self.make(self))
        except (
            Exception
        ) as error:  # told to who waits for it: an address in use, a key that is none
            made.set_exception(error)
            return
        self.loop.start()
        self.loop.close()

    def _turn(self):
        self.turned_at = self.service.now()

    # What the planner asks.

    def refusals_of(self, relay):
        return self.peers.refusals.of(relay)

    def refused(self, relay, name, content):
        self.loop.add_callback(self.peers.refusals.refused, relay, name, content)

    def send(self, member, kind, **fields):
        self.loop.add_callback(lambda: self.peers.send(member, kind, **fields))

    def others(self):
        return [member for member in self.charge.members if member != self.charge.me]

    def cease(self):
        self.turning.stop()
        self.loop.add_callback(self.peers.cease)
        self.loop.add_callback(self.loop.call_later, ENDING, self.loop.stop)
        self.thread.join(10 * ENDING)

    # What the member asks, on its thread.

    def now(self):
        return self.service.now()

    def silent(self):
        return self.service.now() - self.turned_at

    def note(self, event, **facts):
        self.service.note(event, **facts)

    def in_charge(self, ward, epoch):
        self.main.add_callback(self.service.in_charge, ward, epoch)

    def out_of_charge(self, ward, epoch, why):
        self.main.add_callback(self.service.out_of_charge, ward, epoch, why)

    def copy_came(self, member, kind, fields):
        self.main.add_callback(self.service.copy_came, member, kind, fields)

    async def asked(self, wish):
        return await self._there(self.service.asked(wish))

    async def followers(self):
        async def asked():
            return self.service.followers()

        return await self._there(asked())

    def _there(self, coroutine):
        """Runs something on the planner's loop, for as long as that takes."""
        return asyncio.wrap_future(
            asyncio.run_coroutine_threadsafe(coroutine, self.main.asyncio_loop)
        )
