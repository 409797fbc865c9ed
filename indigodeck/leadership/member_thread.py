"""Runs a member of the election on its own thread, so that a busy planner keeps its leases.

With 303 relays, one endpoint list with changes occupied the planner's loop for 0.3 s, and the
resulting orders for as long again. On an otherwise idle machine, leases of 0.6 s expired during a
release; for seconds no leader was elected, as all planners were equally busy, and drains came too
late (docs/leadership.md). Renewal takes milliseconds, so it runs on a loop of its own. A planner
that hangs permanently must not keep its leases that way: this module monitors the planner's loop,
and the election renews nothing while the planner is unresponsive.

The planner reads `LeaderElection.leading_epoch` from its own thread as it writes bytes. The member
updates a candidacy in an order that never shows it leading with the epoch or expiry of another
lease, and a loss of leadership sets `is_leading = False` first.
"""

import asyncio
import concurrent.futures
import threading
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol

from tornado.ioloop import IOLoop, PeriodicCallback

from .messages import ReplicationMessage
from .transport import ConnectedRelay, ControllerTransport, MemberService

CLOSE_DELAY = 0.1  # seconds to send the releases of leases before the loop stops
JOIN_TIMEOUT = 1.0  # seconds for the thread to end
HEARTBEAT_DIVISOR = 16_000  # turns a lease in microseconds into a 16th of it in milliseconds


class PlannerService(Protocol):
    """What a member needs from the planner; called on the planner's loop unless noted otherwise.

    The counterpart of `transport.MemberService`, which is called on the member's loop.
    """

    def now(self) -> int:
        """Return the monotonic time in microseconds; called from both threads."""

    def log_event(self, event: str, **facts: Any) -> None:
        """Write an event to the log; called from both threads."""

    def on_leadership_acquired(self, relay_group: str, epoch: int) -> None:
        """Start to lead a relay group."""

    def on_leadership_lost(self, relay_group: str, epoch: int, reason: str) -> None:
        """Stop leading a relay group."""

    def on_replication_message(self, member: str, kind: str, fields: dict[str, Any]) -> None:
        """Handle a message of the replication of versions."""

    def connected_relays(self) -> list[ConnectedRelay]:
        """Return the relays that this controller serves."""

    def on_operator_request(self, request: Any) -> Coroutine[Any, Any, Any]:
        """Answer a request about the versions of tables."""


class MemberThread:
    """Runs a member of the election for the planner on whose loop this is created.

    `make_transport(service)` is called on the new thread and returns the transport; an exception
    that it raises is raised here. `lease` is in microseconds.
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
        self._planner_active_at = service.now()
        self._planner_heartbeat = PeriodicCallback(
            self._on_planner_heartbeat, lease / HEARTBEAT_DIVISOR
        )
        self._planner_heartbeat.start()
        self._loop: IOLoop
        transport_future: concurrent.futures.Future[ControllerTransport] = (
            concurrent.futures.Future()
        )
        self._thread = threading.Thread(
            target=self._run, args=(transport_future,), name="leadership", daemon=True
        )
        self._thread.start()
        self._transport = transport_future.result()
        self.election = self._transport.election

    def _run(self, transport_future: "concurrent.futures.Future[ControllerTransport]") -> None:
        asyncio.set_event_loop(asyncio.new_event_loop())
        self._loop = IOLoop.current()
        try:
            transport_future.set_result(self._make_transport(self))
        except Exception as error:
            # Raised by the waiting constructor: for example an address in use or an invalid key.
            transport_future.set_exception(error)
            return
        self._loop.start()
        self._loop.close()

    def _on_planner_heartbeat(self) -> None:
        self._planner_active_at = self._service.now()

    # Called by the planner, on its thread.

    def rejections_of(self, relay: str) -> dict[str, str]:
        """Return the content that a relay last rejected, by class."""
        return self._transport.rejections.for_relay(relay)

    def record_rejection(self, relay: str, class_name: str, content: str) -> None:
        """Record what a relay rejected, and notify the other controllers."""
        self._loop.add_callback(self._transport.rejections.record, relay, class_name, content)

    def send(self, member: str, kind: str, **fields: Any) -> None:
        """Send a message of the replication of versions to another member."""
        message = ReplicationMessage(kind, fields)
        self._loop.add_callback(self._transport.send, member, message)

    def peer_ids(self) -> list[str]:
        """Return the other members' ids."""
        return self.election.state.peers

    def close(self) -> None:
        """Release all leases, and end the thread."""
        self._planner_heartbeat.stop()
        self._loop.add_callback(self._transport.close)
        self._loop.add_callback(self._loop.call_later, CLOSE_DELAY, self._loop.stop)
        self._thread.join(JOIN_TIMEOUT)

    # Called by the member, on its own thread (`transport.MemberService`).

    def now(self) -> int:
        """Return the monotonic time in microseconds."""
        return self._service.now()

    def planner_idle_time(self) -> int:
        """Return for how long the planner's loop has not run, in microseconds."""
        return self._service.now() - self._planner_active_at

    def log_event(self, event: str, **facts: Any) -> None:
        """Write an event to the log."""
        self._service.log_event(event, **facts)

    def on_leadership_acquired(self, relay_group: str, epoch: int) -> None:
        """Notify the planner that it leads."""
        self._planner_loop.add_callback(self._service.on_leadership_acquired, relay_group, epoch)

    def on_leadership_lost(self, relay_group: str, epoch: int, reason: str) -> None:
        """Notify the planner that it leads no longer."""
        self._planner_loop.add_callback(
            self._service.on_leadership_lost, relay_group, epoch, reason
        )

    def on_replication_message(self, member: str, kind: str, fields: dict[str, Any]) -> None:
        """Pass a message on to the planner."""
        self._planner_loop.add_callback(self._service.on_replication_message, member, kind, fields)

    async def on_operator_request(self, request: Any) -> Any:
        """Return the planner's answer to a request."""
        return await self._run_on_planner_loop(self._service.on_operator_request(request))

    async def connected_relays(self) -> list[ConnectedRelay]:
        """Return the relays that the planner serves."""

        async def read_relays() -> list[ConnectedRelay]:
            return self._service.connected_relays()

        return await self._run_on_planner_loop(read_relays())

    def _run_on_planner_loop(self, coroutine: Coroutine[Any, Any, Any]) -> Awaitable[Any]:
        """Run a coroutine on the planner's loop, without a time-out."""
        loop: asyncio.AbstractEventLoop = self._planner_loop.asyncio_loop  # type: ignore[attr-defined]
        return asyncio.wrap_future(asyncio.run_coroutine_threadsafe(coroutine, loop))
