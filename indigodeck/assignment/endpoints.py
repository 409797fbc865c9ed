"""The endpoint list: applying its updates, and subscribing to it where that is required."""

from collections.abc import Sequence

from ..clock import SECOND
from .interface import AssignerHost, Server, ServerState, UpdateKind
from .outlier_detection import OutlierDetector
from .seeded_random import SeededRandom
from .server_health import ServerHealth
from .state import AssignerState

MAX_WEIGHT = 1e9  # a listed weight of 0 or less, or of this or more, counts as 1
# A server that restarts within so many warm-up times of its last start may never get warm.
RESTART_WINDOW_WARM_UPS = 4
INITIAL_RETRY_DELAY = SECOND  # between attempts to subscribe; doubled after each failure
MAX_RETRY_DELAY = 8 * SECOND
SUBSCRIBE_TIMEOUT = 20 * SECOND  # after it, a subscription without any update is requested again


class EndpointTracker:
    """Applies endpoint updates to the shared state."""

    def __init__(self, state: AssignerState, outliers: OutlierDetector) -> None:
        self.state = state
        self.outliers = outliers

    def update(self, kind: UpdateKind, servers: Sequence[Server]) -> None:
        """Apply an update; unless it is incremental, servers that are not in it are removed."""
        if kind != UpdateKind.INCREMENTAL:
            listed = {server.index for server in servers}
            for index in sorted(self.state.servers.keys() - listed):
                self._remove(index)
        for server in servers:
            if server.state not in (ServerState.READY, ServerState.DRAINING):
                self._remove(server.index)
                continue
            if not 0 < server.weight < MAX_WEIGHT:
                server = server._replace(weight=1.0)
            self.state.servers[server.index] = server
            health = self.state.health.get(server.index)
            if health is None or health.started != server.started:
                # This is a new process: the health of the previous one does not apply to it.
                previous = health
                health = ServerHealth(server.started)
                self.state.health[server.index] = health
                if kind != UpdateKind.CACHED:
                    health.reports_valid_from = self.state.host.now() + self.state.feedback_delay()
                if previous is not None:
                    self._handle_restart(server, health, previous)
            health.suspect = False

    def _handle_restart(self, server: Server, health: ServerHealth, previous: ServerHealth) -> None:
        window = RESTART_WINDOW_WARM_UPS * self.state.settings.warm_up_time
        if previous.started > 0 and previous.started > server.started - window:
            self.outliers.eject_restarted(server.index, health, previous.restarts)

    def _remove(self, index: int) -> None:
        """Remove a server at once or, if the list may be wrong, keep it while it still answers."""
        listed_server = self.state.servers.get(index)
        if listed_server is None:
            return
        if not self.state.settings.removal_is_final and listed_server.state == ServerState.READY:
            health = self.state.health[index]
            health.suspect = True
            health.next_check_at = self.state.host.now()
        else:
            del self.state.servers[index]


class EndpointSubscription:
    """The subscription to the endpoint list, renewed after failures.

    Retry delays grow and are randomized, so that many planners do not overload a slow service.
    Without `on_request` the host delivers the list on its own, and no request is sent at the start.
    """

    def __init__(
        self, host: AssignerHost, random: SeededRandom, on_request: bool, retry_token: int
    ) -> None:
        self.host = host
        self.random = random
        self.retry_token = retry_token
        self.active = not on_request
        self.retry_delay = INITIAL_RETRY_DELAY
        self.requested_at = 0
        if on_request:
            self.request()

    def request(self) -> None:
        """Request the list and its changes."""
        self.requested_at = self.host.now()
        self.host.watch_endpoints(True)

    def on_update(self, kind: UpdateKind) -> None:
        """Handle an update; a cached list does not show that the subscription is active."""
        self.active = self.active or kind != UpdateKind.CACHED
        self.retry_delay = INITIAL_RETRY_DELAY

    def on_failure(self) -> None:
        """Schedule another request, with a longer delay after each failure."""
        self.active = False
        self.retry_delay = min(self.retry_delay * 2, MAX_RETRY_DELAY)
        self.host.start_timer(
            self.retry_delay // 2 + self.random.randbelow(self.retry_delay), self.retry_token
        )

    def on_timer(self, now: int, token: int) -> None:
        """Request the list again if the retry delay or the subscribe timeout has passed."""
        due = token == self.retry_token or now - self.requested_at > SUBSCRIBE_TIMEOUT
        if due and not self.active:
            self.request()
