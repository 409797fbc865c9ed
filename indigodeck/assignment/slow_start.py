"""Slow start: how much of its weight a server that was started or unejected lately may have."""

from .interface import Server
from .state import AssignerState

FIRST_WARM_UP_FACTOR = 0.25  # of the listed weight
WARM_UP_DOUBLINGS = 3  # spread over the stated warm-up time
OVERLOAD_MARGIN = 0.4  # part of what would overload a cold server that is planned for


def warm_up_factor(state: AssignerState, server: Server) -> float:
    """Return the part of its listed weight that a server may have now; it doubles up to 1."""
    now = state.host.now()
    began = max(server.started, state.health[server.index].unejected_at)
    doublings = (now - began) // (state.settings.warm_up_time // WARM_UP_DOUBLINGS)
    return min(1.0, FIRST_WARM_UP_FACTOR * 2**doublings) if began and now >= began else 1.0


def cold_budgets(
    state: AssignerState, ready: dict[int, Server], rate_per_weight: float
) -> dict[int, float]:
    """Return the requests a second that each cold server may be planned for, by index.

    `rate_per_weight` is what a warm server surely does for its weight. A cold server starts with
    the stated share of that, which grows evenly; a part of what would overload it is planned for.
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
