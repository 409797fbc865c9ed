"""Assembles a planner for the platform, and runs it until it is stopped."""

import asyncio
import json
import logging
import os
import signal
import sys
from collections.abc import Callable, Sequence
from typing import Any

from tornado.ioloop import IOLoop

from ..assignment.seeded_random import SeededRandom
from ..clock import SECOND, now, wall_clock_offset
from ..errors import MalformedMessageError
from .assigner_host import EdgeAssignerHost, HealthCheckTarget
from .bootstrap import Bootstrap, read_bootstrap
from .codec import order_fields
from .connecting import DeadlineExceededError, with_deadline
from .discovery import DiscoveryClient
from .event_log import LineRateFilter, format_event
from .health_checks import HealthChecker
from .listener import CollectorListener
from .membership import ProxyMembership
from .messages import Address
from .outbox import Outbox
from .peers import PeerSocket
from .relay_client import RelayClient

# How long to wait at shutdown for pending orders to be sent, in microseconds. The platform kills a
# planner that has not exited after 0.7 s.
SHUTDOWN_TIMEOUT = SECOND // 2
TRACE_VARIABLE = "INDIGODECK_TRACE"  # if set, the assigner's events and orders are traced
EXIT_INVALID_CONFIGURATION = 2


class EdgeService:
    """All components of one planner; also the `Environment` of its assigner host."""

    def __init__(self, bootstrap: Bootstrap) -> None:
        self._bootstrap = bootstrap
        self._logger = logging.getLogger("indigodeck")
        # Unix time at the start plus monotonic time since then: start times in the endpoint list
        # are Unix times, and the clock must not go back.
        self._clock_offset = wall_clock_offset()
        self._trace_enabled = bool(os.environ.get(TRACE_VARIABLE))
        codec = bootstrap.codec
        random = SeededRandom(bootstrap.seed)
        self._outbox = Outbox(self.now, self.log)
        self._host = EdgeAssignerHost(self, self._outbox, bootstrap.settings, bootstrap.seed)
        self._health_checker = HealthChecker(codec, self.now, self._host.on_health_check)
        self._listener = CollectorListener(self._host, codec, self.now, bootstrap.descriptor_limit)
        self._discovery = DiscoveryClient(
            bootstrap.discovery,
            codec,
            self._host.on_endpoint_list,
            self.log,
            random,
            has_servers=bootstrap.cached_list is not None,
        )
        self._relay = RelayClient(
            self._outbox,
            ProxyMembership(self._host, self.now),
            self._host,
            codec,
            self.now,
            self.log,
            random,
        )
        self._peers = self._open_peer_socket(bootstrap)

    # What the assigner host calls (`Environment`).

    def now(self) -> int:
        """Return Unix time in microseconds, from a clock that never goes back."""
        return now() + self._clock_offset

    def call_later(self, delay: int, callback: Callable[[], None]) -> None:
        """Call `callback` after `delay` microseconds."""
        IOLoop.current().call_later(delay / SECOND, callback)

    def notify_orders_pending(self) -> None:
        """Start to send the orders in the outbox."""
        self._relay.notify_orders_pending()

    def check_health(self, target: HealthCheckTarget, address: Address) -> None:
        """Send a health check; the assigner host receives its result."""
        self._health_checker.check(target, address)

    def send_to_peer(self, peer: int | None, data: bytes) -> None:
        """Send a datagram to another planner, or to all if `peer` is None."""
        if self._peers is not None:
            self._peers.send(peer, data)

    def fetch_endpoints(self) -> None:
        """Request the whole endpoint list."""
        self._discovery.fetch()

    def log(self, event: str, /, **fields: object) -> None:
        """Write an event to the log."""
        self._logger.info(format_event(event, fields))

    def trace(self, event: str, details: Sequence[Any]) -> None:
        """Write an event or the assigner's orders as a JSON line to stderr, if tracing is on."""
        if self._trace_enabled:
            is_orders = event == "orders"
            fields = [order_fields(order) for order in details] if is_orders else details
            print(json.dumps([self.now(), event, fields], default=repr), file=sys.stderr)

    def start(self) -> None:
        """Apply the cached endpoint list, then open all connections."""
        bootstrap = self._bootstrap
        if bootstrap.cached_list is not None:
            cached_list = bootstrap.cached_list._replace(complete=True)
            self._host.on_endpoint_list(cached_list, cached=True)
        self._listener.open(bootstrap.listen)
        self._discovery.start()
        self._relay.start(bootstrap.relay)
        self.log("planner_listening", name=bootstrap.name, address=bootstrap.listen)

    def reload(self) -> None:
        """Read the configuration again, and apply the addresses of discovery and the relay.

        An invalid configuration, or one for another planner, is ignored; all other changes have no
        effect either.
        """
        current = self._bootstrap
        try:
            reloaded = read_bootstrap(current.path)
        except Exception as error:
            # No fault in a file may end a running planner.
            self.log("configuration_rejected", error=error)
            return
        if (reloaded.name, reloaded.listen) != (current.name, current.listen):
            self.log(
                "configuration_rejected",
                error=f"the file is for planner {reloaded.name} at {reloaded.listen}",
            )
            return
        if reloaded.settings != current.settings:
            # The tables in use were made with the old settings, and would not match new ones.
            self.log("settings_change_ignored")
        self.log("configuration_reloaded", discovery=reloaded.discovery, relay=reloaded.relay)
        self._discovery.set_address(reloaded.discovery)
        self._relay.set_address(reloaded.relay)

    async def stop(self) -> None:
        """Send the pending orders before the planner exits.

        Proxies keep their tables until they join another planner. Without these orders they would
        keep outdated ones, and could go on to use a server that drains.
        """
        self.log("planner_stopping")
        try:
            await with_deadline(SHUTDOWN_TIMEOUT, self._relay.call_sender.idle.wait())
        except DeadlineExceededError:
            self.log("orders_left_unsent")

    def _open_peer_socket(self, bootstrap: Bootstrap) -> PeerSocket | None:
        peers = bootstrap.peers
        if peers is None:
            return None
        return PeerSocket(
            peers.listen, peers.peers, peers.broadcast, self._host.on_peer_message, self.log
        )


async def serve(bootstrap: Bootstrap, reload_at_once: bool) -> None:
    """Run a planner until SIGTERM or SIGINT.

    `reload_at_once`: whether SIGHUP arrived before its handler was installed.
    """
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    service = EdgeService(bootstrap)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, service.reload)
    service.start()
    if reload_at_once:
        service.reload()
    await stop_requested.wait()
    await service.stop()


def main() -> int:
    """Return the exit code: 0 after SIGTERM or SIGINT, 2 if the configuration is unusable."""
    early_signals: list[int] = []
    # By default SIGHUP would end the program.
    signal.signal(signal.SIGHUP, lambda number, _frame: early_signals.append(number))
    _configure_logging()
    try:
        bootstrap = read_bootstrap(os.environ.get("EDGE_CONFIG", ""))
    except (MalformedMessageError, OSError) as error:
        print(f"indigodeck edge: {error}", file=sys.stderr)
        return EXIT_INVALID_CONFIGURATION
    asyncio.run(serve(bootstrap, bool(early_signals)))
    return 0


def _configure_logging() -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        logging.Formatter("%(asctime)s.%(msecs)03d %(name)s %(message)s", "%H:%M:%S")
    )
    handler.addFilter(LineRateFilter())
    logging.basicConfig(level=logging.INFO, handlers=[handler])
