"""Table weights: as listed, except for slow start and the load limit of cold servers."""

from collections import defaultdict
from collections.abc import Mapping

from .admission import AdmissionLevels
from .interface import Server
from .shard_draws import MIN_SHARD_SIZE
from .slow_start import cold_budgets, warm_up_factor
from .state import AssignerState
from .tables import EPSILON, Table, total_weight

# Share of failed attempts above which cold servers wait where proxies avoid failing servers.
COLD_WAIT_FAILURE_SHARE = 0.125
MAX_LOWERING_ROUNDS = 6  # each lowers the servers over budget, which raises the load of the others
BUDGET_TOLERANCE = 1.02
LEVEL_TOLERANCE = 0.9  # a reduction closer to 1 does not lower a table's level


class WeightPlanner:
    """Computes the target weights of all tables."""

    def __init__(self, state: AssignerState, admission: AdmissionLevels) -> None:
        self.state = state
        self.admission = admission

    def update(self, rates: Mapping[int, float]) -> None:
        """Set all tables' target weights and cold levels; `rates` are requests per second.

        `rates` is keyed by table number. Slow start only makes weights smaller relative to others,
        so the load on each cold server is limited as well, and levels refuse the excess.
        """
        ready = self.state.ready_servers()
        budgets = cold_budgets(self.state, ready, self._rate_per_weight(ready))
        warm_weights = {
            index: server.weight * warm_up_factor(self.state, server)
            for index, server in ready.items()
        }
        for table in self.state.tables:
            members = self._usable_members(table, ready, budgets)
            table.target_weights = {member: warm_weights[member] for member in members}
        reductions = self._lower_cold_servers(budgets, rates)
        for table in self.state.tables:
            # Only the proportions of weights matter. Scale them back up to the slow-start weights
            # as far as possible, because otherwise lines would keep changing.
            highest = max(
                (weight / warm_weights[member] for member, weight in table.target_weights.items()),
                default=1.0,
            )
            table.target_weights = {
                member: weight / highest for member, weight in table.target_weights.items()
            }
            levels = [
                reductions[member]
                for member in table.target_weights
                if reductions.get(member, 1.0) < LEVEL_TOLERANCE
            ]
            table.cold_level = min([1.0, *levels])

    def _rate_per_weight(self, ready: dict[int, Server]) -> float:
        """Return the requests per second that a warm server is known to handle per unit of weight.

        This is the rate that the fleet has recently completed. Until it has proven any, it is half
        of the rate that proxies declare: a planner may restart during an overload, when retries
        inflate the declared rates, or during an outage, when reports show no completed request.
        """
        proven_rate = self.admission.fleet.sustained_rate()
        if proven_rate > 0:
            return proven_rate
        declared_total = sum(proxy.declared_rate for proxy in self.state.proxies.values())
        return declared_total / max(EPSILON, 2 * total_weight(ready.values()))

    def _usable_members(
        self, table: Table, ready: dict[int, Server], budgets: Mapping[int, float]
    ) -> list[int]:
        """Return a shard's members without the cold ones that must wait.

        With few warm servers, or while admission is cut, a cold server waits for half of its
        warm-up time: if the warm servers were lost or ejected, it would get all of their load
        before any report shows it. The same holds when many attempts fail and proxies avoid
        failing servers on their own.
        """
        now = self.state.host.now()
        half_warm = self.state.settings.warm_up_time // 2
        warm = [
            member
            for member in table.members
            if member not in budgets or now - ready[member].started > half_warm
        ]
        fleet = self.admission.fleet
        proxies_avoid_servers = (
            self.state.settings.proxy_failure_limit
            and fleet.overall_failure_share > COLD_WAIT_FAILURE_SHARE
        )
        hold_back_cold = (
            len(warm) < MIN_SHARD_SIZE or fleet.admitted_share < 1 or proxies_avoid_servers
        )
        return warm if warm and hold_back_cold else table.members

    def _lower_cold_servers(
        self, budgets: Mapping[int, float], rates: Mapping[int, float]
    ) -> dict[int, float]:
        """Lower the weights of servers over their budget; return the reductions still needed."""
        tables = [
            table for table in self.state.tables if table.target_weights.keys() & budgets.keys()
        ]
        reductions = self._reductions(tables, budgets, rates)
        for _ in range(MAX_LOWERING_ROUNDS):
            if not reductions:
                break
            for table in tables:
                table.target_weights = _lowered(table.target_weights, reductions)
            reductions = self._reductions(tables, budgets, rates)
        return reductions

    def _reductions(
        self, tables: list[Table], budgets: Mapping[int, float], rates: Mapping[int, float]
    ) -> dict[int, float]:
        """Return the budget over the planned load, for each server that exceeds its budget."""
        loads: defaultdict[int, float] = defaultdict(float)
        for table in tables:
            weight = sum(table.target_weights.values())
            rate = self.admission.admitted_rate(table, rates)
            for member, member_weight in table.target_weights.items():
                loads[member] += rate * member_weight / weight
        return {
            member: budget / loads[member]
            for member, budget in budgets.items()
            if loads[member] > budget * BUDGET_TOLERANCE
        }


def _lowered(weights: dict[int, float], reductions: Mapping[int, float]) -> dict[int, float]:
    """Return the weights with those over budget lowered.

    They stay as they are if no member has any budget: their proportions would be lost, and nobody
    else could take the load, which only the table's level can refuse.
    """
    if all(reductions.get(member) == 0 for member in weights):
        return weights
    return {member: weight * reductions.get(member, 1.0) for member, weight in weights.items()}
