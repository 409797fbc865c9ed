"""The endpoint list: what an update changes, and the subscription where there must be one."""

from collections.abc import Sequence

from ..clock import SECOND
from .interface import AssignerHost, Server, ServerState, UpdateKind
from .outlier_detection import OutlierDetector
from .seeded_random import SeededRandom
from .server_health import ServerHealth
from .state import AssignerState

LARGEST_WEIGHT = 1e9  # a listed weight that is not below it, or not above 0, counts as 1
RESTART_WINDOW = 4  # warm-up times within which a server that starts again never gets warm
FIRST_PAUSE = SECOND  # between attempts to subscribe; doubled after each failure
LONGEST_PAUSE = 8 * SECOND
SUBSCRIBE_TIMEOUT = 20 * SECOND  # then a subscription that has brought no list is asked for again


class EndpointTracker:
    """Takes endpoint updates into the shared state."""

    def __init__(self, state: AssignerState, outliers: OutlierDetector) -> None:
        self.state = state
        self.outliers = outliers

    def update(self, kind: UpdateKind, servers: Sequence[Server]) -> None:
        """Take in an update; one that is not of changes alone removes who is not in it."""
        if kind != UpdateKind.INCREMENTAL:
            listed = {server.index for server in servers}
            for index in sorted(self.state.servers.keys() - listed):
                self._remove(index)
        for server in servers:
            if server.state not in (ServerState.READY, ServerState.DRAINING):
                self._remove(server.index)
                continue
            if not 0 < server.weight < LARGEST_WEIGHT:
                server = server._replace(weight=1.0)
            self.state.servers[server.index] = server
            health = self.state.health.get(server.index)
            if health is None or health.started != server.started:
                # A new process: what was held against the old one says nothing of it.
                earlier = health
                health = ServerHealth(server.started)
                self.state.health[server.index] = health
                if kind != UpdateKind.CACHED:
                    health.judged_from = self.state.host.now() + self.state.feedback_delay()
                if earlier is not None:
                    self._note_restart(server, health, earlier)
            health.suspect = False

    def _note_restart(self, server: Server, health: ServerHealth, earlier: ServerHealth) -> None:
        window = RESTART_WINDOW * self.state.settings.warm_up_time
        if earlier.started > 0 and earlier.started > server.started - window:
            self.outliers.eject_restarted(server.index, health, earlier.restarts)

    def _remove(self, index: int) -> None:
        """Remove a server at once, unless the list may be wrong: then it stays while it answers."""
        known = self.state.servers.get(index)
        if known is None:
            return
        if not self.state.settings.removal_is_final and known.state == ServerState.READY:
            health = self.state.health[index]
            health.suspect = True
            health.next_check_at = self.state.host.now()
        else:
            del self.state.servers[index]


class EndpointSubscription:
    """The subscription to the endpoint list, renewed after failures.

    Pauses grow and are random, so that a slow list service is not kept down by many planners.
    """

    def __init__(
        self, host: AssignerHost, random: SeededRandom, on_request: bool, retry_timer: int
    ) -> None:
        self.host = host
        self.random = random
        self.retry_timer = retry_timer
        self.active = not on_request
        self.pause = FIRST_PAUSE
        self.requested_at = 0
        if on_request:
            self.request()

    def request(self) -> None:
        """Ask for the list and its changes."""
        self.requested_at = self.host.now()
        self.host.watch_endpoints(True)

    def on_update(self, kind: UpdateKind) -> None:
        """Note that an update came; a cached list is no sign of a subscription."""
        self.active = self.active or kind != UpdateKind.CACHED
        self.pause = FIRST_PAUSE

    def on_failure(self) -> None:
        """Ask again, later after each failure."""
        self.active = False
        self.pause = min(self.pause * 2, LONGEST_PAUSE)
        self.host.start_timer(self.pause // 2 + self.random.randbelow(self.pause), self.retry_timer)

    def on_timer(self, now: int, token: int) -> None:
        """Ask again if it is time to."""
        due = token == self.retry_timer or now - self.requested_at > SUBSCRIBE_TIMEOUT
        if due and not self.active:
            self.request()
