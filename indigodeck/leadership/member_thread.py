"""A member of the election on a thread of its own, so that a busy planner keeps its lease.

At 303 relays a list of changes kept a planner's loop for 0.3 s and what it ordered for as long
again; leases of 0.6 s ran out amid a release, on a quiet machine, and for seconds nobody was
elected, as all were as busy: drains came too late (docs/leadership.md). Renewing is a matter of
milliseconds, so it has a loop of its own. A planner that hangs for good must not go on leading for
that: its loop is watched here, and the election renews nothing beside a planner that is idle.

What the planner asks as bytes leave (`LeaderElection.leading_epoch`) is read across threads: the
member changes a candidacy so that it never leads with another's epoch or time, and every loss is
at once `is_leading = False`.
"""

import asyncio
import concurrent.futures
import threading
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol

from tornado.ioloop import IOLoop, PeriodicCallback

from .messages import ReplicationMessage
from .transport import ConnectedRelay, ControllerTransport, MemberService

CLOSE_TIME = 0.1  # seconds for what is given up to be sent
JOIN_TIMEOUT = 1.0  # seconds for the thread to end
HEARTBEAT_DIVISOR = 16_000  # of a lease in microseconds: its 16th part, in milliseconds


class PlannerService(Protocol):
    """What a member needs of the planner, on the planner's loop; as `transport.MemberService`."""

    def now(self) -> int:
        """Return the monotonic time in microseconds; called from both threads."""

    def log_event(self, event: str, **facts: Any) -> None:
        """Write an event to the log; called from both threads."""

    def on_leadership_acquired(self, relay_group: str, epoch: int) -> None:
        """Lead a relay group from now on."""

    def on_leadership_lost(self, relay_group: str, epoch: int, reason: str) -> None:
        """Lead a relay group no longer."""

    def on_replication_message(self, member: str, kind: str, fields: dict[str, Any]) -> None:
        """Take a message of the replication of versions."""

    def connected_relays(self) -> list[ConnectedRelay]:
        """Return the relays that are spoken to from here."""

    def on_operator_request(self, request: Any) -> Coroutine[Any, Any, Any]:
        """Answer a request to the versions of tables."""


class MemberThread:
    """Runs a member beside the planner whose loop makes this.

    `make_transport(service)` gives the transport on the thread's own loop; what it raises is
    raised here. `lease` is in microseconds.
    """

    def __init__(
        self,
        service: PlannerService,
        make_transport: Callable[[MemberService], ControllerTransport],
        lease: int,
    ) -> None:
        self._service = service
        self._make_transport = make_transport
        self._planner_loop = IOLoop.current()
        self._planner_seen_at = service.now()
        self._planner_heartbeat = PeriodicCallback(self._on_planner_turn, lease / HEARTBEAT_DIVISOR)
        self._planner_heartbeat.start()
        self._loop: IOLoop
        made: concurrent.futures.Future[ControllerTransport] = concurrent.futures.Future()
        self._thread = threading.Thread(
            target=self._run, args=(made,), name="leadership", daemon=True
        )
        self._thread.start()
        self._transport = made.result()
        self.election = self._transport.election

    def _run(self, made: "concurrent.futures.Future[ControllerTransport]") -> None:
        asyncio.set_event_loop(asyncio.new_event_loop())
        self._loop = IOLoop.current()
        try:
            made.set_result(self._make_transport(self))
        except Exception as error:
            # Raised where it is waited for: an address in use, a key that is none.
            made.set_exception(error)
            return
        self._loop.start()
        self._loop.close()

    def _on_planner_turn(self) -> None:
        self._planner_seen_at = self._service.now()

    # What the planner asks, on its thread.

    def rejections_of(self, relay: str) -> dict[str, str]:
        """Return the content that a relay rejected last, by class."""
        return self._transport.rejections.of_relay(relay)

    def record_rejection(self, relay: str, class_name: str, content: str) -> None:
        """Remember what a relay rejected, and tell the other controllers."""
        self._loop.add_callback(self._transport.rejections.record, relay, class_name, content)

    def send(self, member: str, kind: str, **fields: Any) -> None:
        """Send a message of the replication of versions to another member."""
        message = ReplicationMessage(kind, fields)
        self._loop.add_callback(self._transport.send, member, message)

    def peer_ids(self) -> list[str]:
        """Return the other members' ids."""
        return self.election.state.peers

    def close(self) -> None:
        """Give up what is led, and end the thread."""
        self._planner_heartbeat.stop()
        self._loop.add_callback(self._transport.close)
        self._loop.add_callback(self._loop.call_later, CLOSE_TIME, self._loop.stop)
        self._thread.join(JOIN_TIMEOUT)

    # What the member asks, on its own thread.

    def now(self) -> int:
        """Return the monotonic time in microseconds."""
        return self._service.now()

    def planner_idle_time(self) -> int:
        """Return for how long the planner's loop has not turned, in microseconds."""
        return self._service.now() - self._planner_seen_at

    def log_event(self, event: str, **facts: Any) -> None:
        """Write an event to the log."""
        self._service.log_event(event, **facts)

    def on_leadership_acquired(self, relay_group: str, epoch: int) -> None:
        """Tell the planner that it leads."""
        self._planner_loop.add_callback(self._service.on_leadership_acquired, relay_group, epoch)

    def on_leadership_lost(self, relay_group: str, epoch: int, reason: str) -> None:
        """Tell the planner that it leads no longer."""
        self._planner_loop.add_callback(
            self._service.on_leadership_lost, relay_group, epoch, reason
        )

    def on_replication_message(self, member: str, kind: str, fields: dict[str, Any]) -> None:
        """Pass a message on to the planner."""
        self._planner_loop.add_callback(self._service.on_replication_message, member, kind, fields)

    async def on_operator_request(self, request: Any) -> Any:
        """Return the planner's answer to a request."""
        return await self._on_planner_loop(self._service.on_operator_request(request))

    async def connected_relays(self) -> list[ConnectedRelay]:
        """Return the relays that the planner speaks to."""

        async def ask() -> list[ConnectedRelay]:
            return self._service.connected_relays()

        return await self._on_planner_loop(ask())

    def _on_planner_loop(self, coroutine: Coroutine[Any, Any, Any]) -> Awaitable[Any]:
        """Run something on the planner's loop, for as long as that takes."""
        loop: asyncio.AbstractEventLoop = self._planner_loop.asyncio_loop  # type: ignore[attr-defined]
        return asyncio.wrap_future(asyncio.run_coroutine_threadsafe(coroutine, loop))
