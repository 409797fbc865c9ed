"""Slow start: the weight and load of servers that were started or unejected recently."""

from .interface import Server
from .state import AssignerState

FIRST_WARM_UP_FACTOR = 0.25  # of the listed weight
WARM_UP_DOUBLINGS = 3  # spread over the configured warm-up time
OVERLOAD_MARGIN = 0.4  # planned load of a cold server, as a share of what would overload it


def warm_up_factor(state: AssignerState, server: Server) -> float:
    """Return the share of its listed weight that a server may have now; it doubles up to 1."""
    now = state.host.now()
    warm_up_started_at = max(server.started, state.health[server.index].unejected_at)
    doublings = (now - warm_up_started_at) // (state.settings.warm_up_time // WARM_UP_DOUBLINGS)
    return (
        min(1.0, FIRST_WARM_UP_FACTOR * 2**doublings)
        if warm_up_started_at and now >= warm_up_started_at
        else 1.0
    )


def cold_budgets(
    state: AssignerState, ready: dict[int, Server], rate_per_weight: float
) -> dict[int, float]:
    """Return the requests per second that may be planned for each cold server, by index.

    `rate_per_weight` is what a warm server is known to handle per unit of weight. The capacity of
    a cold server starts at the configured share of that and grows linearly; the budget is a
    fraction of the load that would overload the server.
    """
    now = state.host.now()
    settings = state.settings
    share = settings.cold_capacity_share
    rate = rate_per_weight * (settings.overload_multiple * OVERLOAD_MARGIN / settings.planner_count)
    growth = (1 - share) / settings.warm_up_time
    return {
        index: server.weight * rate * (share + growth * max(0, now - server.started))
        for index, server in ready.items()
        if server.started and now - server.started < settings.warm_up_time
    }
