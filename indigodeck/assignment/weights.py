"""Table weights: as listed, but for slow start and the bound on the load of cold servers."""

from collections import defaultdict
from collections.abc import Mapping

from .admission import AdmissionLevels
from .interface import Server
from .shard_draws import LEAST_SERVERS
from .slow_start import cold_budgets, warm_up_factor
from .state import AssignerState
from .tables import TINY, Table, total_weight

LOST_SHARE_COLD_WAITS = 0.125  # of attempts, above which cold servers wait where proxies avoid some
LOWERING_ROUNDS = 6  # each lowers what is too much, and so raises what is left
BUDGET_TOLERANCE = 1.02
LEVEL_TOLERANCE = 0.9  # a smaller excess is no cause to lower a table's level


class WeightPlanner:
    """Works out the weights that tables should have."""

    def __init__(self, state: AssignerState, admission: AdmissionLevels) -> None:
        self.state = state
        self.admission = admission

    def update(self, rates: Mapping[int, float]) -> None:
        """Set all tables' target weights and cold levels, by requests a second by table number.

        Weights in slow start are relative: so the load on each cold server is bounded too, and
        levels keep out what is over.
        """
        ready = self.state.ready_servers()
        budgets = cold_budgets(self.state, ready, self._rate_per_weight(ready))
        warm_weights = {
            index: server.weight * warm_up_factor(self.state, server)
            for index, server in ready.items()
        }
        for table in self.state.tables:
            members = self._members_to_use(table, ready, budgets)
            table.target_weights = {member: warm_weights[member] for member in members}
        excess = self._lower_cold_servers(budgets, rates)
        for table in self.state.tables:
            # Only proportions count: as near to slow start's weights as they allow, or lines would
            # change for ever.
            highest = max(
                (weight / warm_weights[m] for m, weight in table.target_weights.items()),
                default=1.0,
            )
            table.target_weights = {
                member: weight / highest for member, weight in table.target_weights.items()
            }
            levels = [
                excess[m] for m in table.target_weights if excess.get(m, 1.0) < LEVEL_TOLERANCE
            ]
            table.cold_level = min([1.0, *levels])

    def _rate_per_weight(self, ready: dict[int, Server]) -> float:
        """Return the requests a second that a warm server surely does for a unit of weight.

        That is what the fleet has lately completed; before anything is reported, half of what
        proxies say: a planner may start over in an overload, where retries swell that.
        """
        if self.admission.fleet.completion_rates:
            return self.admission.fleet.shown_rate()
        stated = sum(proxy.stated_rate for proxy in self.state.proxies.values())
        return stated / max(TINY, 2 * total_weight(ready.values()))

    def _members_to_use(
        self, table: Table, ready: dict[int, Server], budgets: Mapping[int, float]
    ) -> list[int]:
        """Return a shard's members, without cold ones that wait.

        Beside few warm servers, or while less than all is admitted, a cold one waits for half of
        its warm-up: were the warm ones lost or ejected, it would be sent all that they had before
        a report tells. Proxies avoid servers themselves where many attempts are lost.
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
            self.state.settings.proxy_failure_limit and fleet.lost_share > LOST_SHARE_COLD_WAITS
        )
        cold_wait = len(warm) < LEAST_SERVERS or fleet.admitted_share < 1 or proxies_avoid_servers
        return warm if warm and cold_wait else table.members

    def _lower_cold_servers(
        self, budgets: Mapping[int, float], rates: Mapping[int, float]
    ) -> dict[int, float]:
        """Lower the weights of servers above their budget; return by what factor some still are."""
        tables = [
            table for table in self.state.tables if table.target_weights.keys() & budgets.keys()
        ]
        excess = self._excess(tables, budgets, rates)
        for _ in range(LOWERING_ROUNDS):
            if not excess:
                break
            for table in tables:
                table.target_weights = {
                    member: weight * excess.get(member, 1.0)
                    for member, weight in table.target_weights.items()
                }
            excess = self._excess(tables, budgets, rates)
        return excess

    def _excess(
        self, tables: list[Table], budgets: Mapping[int, float], rates: Mapping[int, float]
    ) -> dict[int, float]:
        """Return, of servers planned for more than their budget, the part that is within it."""
        loads: defaultdict[int, float] = defaultdict(float)
        for table in tables:
            weight = sum(table.target_weights.values())
            rate = self.admission.admitted_rate(table, rates)
            for member, part in table.target_weights.items():
                loads[member] += rate * part / weight
        return {
            member: budget / loads[member]
            for member, budget in budgets.items()
            if loads[member] > budget * BUDGET_TOLERANCE
        }
