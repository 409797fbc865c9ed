"""Decides which servers serve which class of exchanges, by shuffle sharding (see docs/design.md).

Make one `Assigner` an instance, with a host (host.py), the charter (a map of what the deployment states) and
a seed. Call the method for what has happened; it acts by calling the host. Times are whole microseconds.
"""

from collections import defaultdict, deque
from itertools import product
from statistics import median

from ..clock import SECOND
from ..settings import AdmissionMode
from .interface import HealthCheckOutcome, RetryPolicy, ServerState, UpdateKind
from .channel_account import ChannelAccount
from .demand import Locality, Proxy, ProxyRegistry
from .server_health import EJECTION_TIME, ReceivedReport, ServerHealth
from .tables import Table, total_weight
from .seeded_random import SeededRandom, seed_from

TURN = SECOND // 4  # between two looks at reports, shards and the channel
# Shards (the design's starting values, and what measuring has made of them).
TARGET, TARGET_APART, LEAST_SERVERS, OVERLAP_MOST, DRAWS, PICKS = 3.0, 2.0, 4, 0.5, 5, 8
GROUP = 10  # proxies of a zone that share a table, where there are so many
RESIZE_EVERY, RESIZE_BY = 10 * SECOND, 0.08
HOT, COOL = (
    1.15,
    0.95,
)  # planned load by other shards, over the fleet's mean, that keeps a server out
RAMP_FROM, RAMP_STEPS = 0.25, 3  # a newcomer's first weight; doublings spread over the cold time
TIP_MARGIN = 0.4  # guard: part of what would tip a cold server that is planned for
SLOW, FAILING, DEAD, ENOUGH, LOST = 2.2, 0.25, 0.85, 8, 0.125
OUT_SLOW, OUT_FAILED = 0.2, 0.5  # share of listed weight that may be out for either cause
SPELL, SPELL_MOST, FORGET, DOUBT = (
    8 * SECOND,
    40 * SECOND,
    20 * SECOND,
    SECOND,
)  # FORGET: who has left
BUSY, CALM, ABLE_PART, FULL = 0.5, 0.4, 0.9, 1.2
LINES_TURN, QUEUE_PART = (
    0.25,
    0.45,
)  # seconds of the channel an ordinary push may take; part of its limit


def quantile(part, samples):
    """Return the quantile of values that each come with a weight; None if there are none."""
    left = part * sum(weight for _, weight in samples)
    for value, weight in sorted(samples):
        left -= weight
        if left <= 0:
            return value


class Valve:
    """How much is let in to servers that share load. Answer times tell: they rise before failures do."""

    def __init__(self):
        self.open, self.target, self.asked, self.failed, self.lost = 1.0, 0.0, 0.0, 0.0, 0.0
        self.turned_at, self.cut, self.calmest = 0, False, 9.0
        self.shown, self.seen = deque(maxlen=32), deque(maxlen=3)

    def turn(self, now, echo, calmest, busy, failing, tried, done, weight, may_cut):
        # The best it has shown, but for two: in a jam it completes less, and levels cut to that never end it.
        self.shown.append(done / weight)
        self.lost = 1 - done / tried
        able = sorted(self.shown)[-min(3, len(self.shown))] * weight
        before, settled = self.open, now >= self.turned_at + echo
        self.seen.append(busy)
        self.calmest = min(self.calmest, max(self.seen))
        # Failures tell of a jam only beside slower answers: who leaves early, or fails quickly, leaves those.
        strain = busy + 4 * min(failing, 0.1) * min(
            1.0, max(0.0, busy / min(calmest, self.calmest) - 1)
        )
        if self.open == 1 and (strain < CALM or not self.asked):
            self.asked = tried  # later, repeats would count as demand
        # One period ahead: what is ordered now takes effect only then.
        strain += min(0.15, max(0.0, busy - self.seen[0]))
        slower = busy > 1.25 * self.calmest or failing > 0.02 or busy > 0.6
        if strain > BUSY and slower and may_cut and (settled or failing > self.failed + 0.15):
            # A little below it, to let queues drain; by all that fails, levels stayed shut long after a jam.
            self.target, self.failed, self.cut = (
                (ABLE_PART - min(0.15, failing)) * able,
                failing,
                True,
            )
            part = max(self.open * self.target / tried, 0.6 * self.target / self.asked)
            self.open = max(0.1, min(self.open, part))
        elif self.open < 1 and busy < CALM and (now >= self.turned_at + echo // 2 or self.cut):
            # A step, no further than was asked for: amid a release few accept, twice the flow is too much.
            self.target, self.failed, self.cut = (
                max(self.target * 1.06, ABLE_PART * able),
                0.0,
                False,
            )
            part = min(
                self.open * self.target / tried, max(self.open * 1.15, self.target / self.asked)
            )
            self.open = min(1.0, 1.5 * self.open, max(self.open * 1.06, part))
        self.turned_at = now if self.open != before else self.turned_at
        return self.open != before


class Assigner:
    def __init__(self, host, settings, seed):
        self.host, self.settings, self.random = host, settings, SeededRandom(seed)
        self.classes, zones = settings.classes, settings.zone_count
        self.order = sorted(range(len(self.classes)), key=lambda k: self.classes[k].name)
        self.tables, self.valves, self.proxies = (
            [],
            {None: Valve()},
            ProxyRegistry(settings, FORGET),
        )
        # Where proxies are many, one table means too many connections: groups are classes of their own.
        apart = self.apart = settings.proxy_count >= zones * GROUP
        self.parts = max(1, settings.proxy_count // (zones * GROUP))
        for place in [] if settings.key_range_count else self.order:
            own, name = self.classes[place].zone_bound, self.classes[place].name
            for zone, part in product(range(zones) if own or apart else [None], range(self.parts)):
                number = (part * len(self.order) + place) * (zones + 1) + (
                    0 if zone is None else 1 + zone
                )
                name_here = f"{name} {zone} {part}" if apart else name
                self.tables.append(Table(number, place, zone, own, name_here))
                for near in range(zones) if zone is None else [zone]:
                    self.proxies.tables_by_locality[near, part].append(self.tables[-1])
                self.valves.setdefault(zone if own else None, Valve())
        self.health = defaultdict(ServerHealth)
        self.fleet, self.joining, self.withdrawn, self.shares, self.shared_at = {}, [], set(), {}, 0
        self.natural = {place: 1 / len(self.order) for place in self.order}
        self.levels = dict.fromkeys(self.order, 1.0)
        self.channel, self.spans = ChannelAccount(settings, host.now(), FORGET), deque(maxlen=64)
        self.pushed_at, self.pause, self.subscribed = (
            -SPELL_MOST,
            SECOND,
            not settings.list_on_request,
        )
        self.heard_at, self.reviewed_at, self.asked_at, self.slices = 0, 0, 0, {}
        if settings.list_on_request:
            self._ask()
        host.start_timer(TURN, 0)

    def _ask(self):
        self.asked_at = self.host.now()
        self.host.watch_endpoints(True)

    def on_endpoint_list_failed(self):
        # Later each time, not in step with others, so that a slow list service is not kept down.
        self.subscribed, self.pause = False, min(self.pause * 2, 8 * SECOND)
        self.host.start_timer(self.pause // 2 + self.random.below(self.pause), 1)

    def on_endpoint_update(self, kind, servers):
        self.subscribed, self.pause = self.subscribed or kind != UpdateKind.CACHED, SECOND
        if kind != UpdateKind.CHANGES:
            for index in sorted(self.fleet.keys() - {server.index for server in servers}):
                self._gone(index)
        for server in servers:
            if server.state not in (ServerState.READY, ServerState.DRAINING):
                self._gone(server.index)
                continue
            self.fleet[server.index] = (
                server if 0 < server.weight < 1e9 else server._replace(weight=1.0)
            )
            health = self.health.get(server.index)
            if health is None or health.started != server.started:
                # A new process: what was held against the old one says nothing of it.
                judge_from, old = (
                    0 if kind == UpdateKind.CACHED else self.host.now() + self._echo(),
                    health,
                )
                health = self.health[server.index] = ServerHealth(server.started, judge_from, SPELL)
                if old and 0 < old.started > server.started - 4 * self.settings.warm_up_time:
                    # But one that falls by turns never gets warm, and takes what it is sent with it.
                    health.restarts = old.restarts + 1
                    health.ejection_time = min(SPELL_MOST, SPELL << health.restarts)
                    self._bar(server.index, self.order, self._ready(), "falls again")
            health.suspect = False
        self._act()

    def _gone(self, index):
        """Out at once, unless this deployment's list may be wrong in that: then it stays while it answers."""
        if (
            not self.settings.removal_is_final
            and index in self.fleet
            and self.fleet[index].state == ServerState.READY
        ):
            self.health[index].suspect, self.health[index].next_check_at = True, self.host.now()
        else:
            self.fleet.pop(index, None)

    def _ready(self, zone=None):
        return {
            index: server
            for index, server in self.fleet.items()
            if server.state == ServerState.READY and zone in (None, server.zone)
        }

    def on_proxy_joined(self, proxy, zone, rate, fresh):
        demand = self.proxies[proxy].demand if proxy in self.proxies else {}
        # The same group at every planner; not by remainder, for numbers may go with zones.
        group, rate = SeededRandom(proxy).below(self.parts), rate if 0 < rate < 1e9 else 1.0
        self.proxies[proxy] = Proxy(Locality(zone, group), rate, demand)
        if not self.joining:
            self.host.start_timer(
                1, 2
            )  # with all that join at this moment: draws go by their demand
        self.joining.append(proxy)

    def _bind(self):
        """Puts proxies on their tables as the channel has room; until then old ones hold. Busiest first."""
        rest, now, limit = [], self.host.now(), self.settings.channel.max_waiting_lines * QUEUE_PART
        waiting = {proxy for proxy in self.joining if self.proxies[proxy].joined}
        for proxy in sorted(waiting, key=lambda p: (-self.proxies[p].stated_rate, p)):
            tables, queue = self.proxies.tables_of(proxy), self.channel.queued_lines(now)
            lines = sum(
                2
                + len(table.published_weights)
                + len(self.withdrawn & table.published_weights.keys())
                for table in tables
            )
            if rest or queue and queue + self.channel.cost({proxy}, lines) > limit:
                rest.append(proxy)
                continue
            for table in tables:
                table.proxies.add(proxy)
                self.host.assign_table(proxy, table.number, [table.class_index])
            self.channel.record_orders(self.proxies, {proxy}, lines, now)
        self.joining = rest

    def on_proxy_left(self, proxy):
        if proxy in self.proxies:
            self.proxies[proxy].joined, self.proxies[proxy].left_at = False, self.host.now()
        for table in self.tables:
            table.proxies.discard(proxy)

    def on_load_report(self, report):
        zone, server, tries, failed, took, span, _ = report
        self.heard_at = self.host.now()
        if tries and span:
            self.spans.append(span)
            self.health[server].reports[zone].append(
                ReceivedReport(self.heard_at, tries, min(failed, tries), took, span)
            )

    def on_demand_report(self, report):
        if report.proxy in self.proxies and report.span:
            self.proxies[report.proxy].record_demand(
                report.class_index, report.requests, report.span
            )

    def on_ack(self, proxy, number, took):
        self.channel.on_ack(number, took, self.host.now())

    def on_health_check(self, server, outcome, took, load):
        health = self.health[server]
        health.health_check_pending, health.next_check_at = (
            False,
            self.host.now() + (DOUBT if health.suspect else SPELL // 2),
        )
        if health.suspect and outcome not in (HealthCheckOutcome.OK, HealthCheckOutcome.FULL):
            self.fleet.pop(server, None)
            self._act()
        elif health.ejected_classes and outcome == HealthCheckOutcome.OK:
            self._try_again(health)

    def on_peer_message(self, peer, data):
        """Planners share nothing that these decisions need."""

    def on_timer(self, token):
        now = self.host.now()
        if not self.subscribed and (token == 1 or now - self.asked_at > 20 * SECOND):
            self._ask()
        if token == 0:
            self.host.start_timer(TURN, 0)
        for server in sorted(self.withdrawn - self.fleet.keys() if not self.joining else ()):
            # No table has it, and no late report can name it any more: who runs for long keeps nothing of it.
            if now - self.health[server].next_check_at > FORGET and not any(
                server in t.published_weights for t in self.tables
            ):
                self.withdrawn.remove(server)
                del self.health[server]
                self.host.forget_server(server)
        if (
            self.tables
            and self.heard_at > self.reviewed_at <= now - self.settings.report_period // 2
        ):
            self._review()
        for index, health in self.health.items():
            asked = (
                index in self.fleet
                and now >= health.next_check_at
                and (health.ejected_classes or health.suspect)
            )
            if asked and self.settings.health_checks_allowed:
                if not health.health_check_pending:
                    health.health_check_pending = True
                    self.host.check_health(index)
            elif asked and not health.suspect:
                self._try_again(health)
            elif asked and not health.request_rates(now, DOUBT)[1]:
                self.fleet.pop(index)
        self._act()

    def _act(self):
        self.channel.reached = set()
        if self.settings.key_range_count:
            return self._settle_slices()
        if not self.proxies:
            return  # draws go by planned load: without any, busy servers would be met by chance
        expected = self.proxies.planned_rates(self.host.now())
        self._resize(expected)
        self._shards(expected)
        self._weigh(self.proxies.table_rates(self.host.now(), peak=True))
        self._push()
        self._bind()
        if self.channel.reached:
            self.channel.record_orders(self.proxies, self.channel.reached, 1, self.host.now())
            self.host.request_ack(self.channel.new_ack_request(self.host.now()), False)

    def _echo(self):
        # When reports can show an order. Cut again before the last cut arrived, levels refused half of all.
        way = self.settings.channel.max_delivery_delay + self.channel.lateness(self.host.now())
        return way + self.settings.report_period + self._cycle()

    def _cycle(self):
        """What reports cover: where there are more than are let in a second, several periods each."""
        return max(self.settings.report_period, round(median(self.spans)) if self.spans else 0)

    def _rate(self, table, rates):
        return self._level(table) * rates[table.number]

    def _resize(self, rates):
        now, total = self.host.now(), sum(rates.values())
        if (
            self.valves[None].open == 1 and total
        ):  # else repeats of refused ones would count as demand
            self.natural = {
                place: sum(
                    rates[table.number] for table in self.tables if table.class_index == place
                )
                / total
                for place in self.order
            }
        moved = max(abs(self.natural[place] - self.shares.get(place, 0)) for place in self.order)
        if not self.shares or moved > RESIZE_BY and now - self.shared_at > RESIZE_EVERY:
            self.shares, self.shared_at = self.natural, now

    # Shards.

    def _pool(self, table):
        ready, full = self._ready(table.zone if table.zone_bound else None), self._full()
        fit = {
            index: server
            for index, server in ready.items()
            if not self.health[index].fully_ejected
            and (full or table.class_index not in self.health[index].ejected_classes)
        }
        # With most barred, doubtful servers beat too few: those left would be next.
        return fit if 2 * total_weight(fit.values()) >= total_weight(ready.values()) else ready

    def _plan(self, table, rates, loads, sign=1):
        """Adds a shard's planned load on each of its servers, by listed weight, or takes it off again."""
        members = [self.fleet[m] for m in table.members if m in self.fleet]
        rate = sign * self._rate(table, rates) / max(1e-9, total_weight(members))
        for server in members:
            loads[server.index] += rate * server.weight

    def _spared(self, table, pool, loads, mean):
        """Without servers that zone-bound shards alone load above the mean: who may go elsewhere does."""
        most = {
            index: (HOT if index in table.members else COOL) * mean * server.weight
            for index, server in pool.items()
        }
        spared = {index: server for index, server in pool.items() if loads[index] <= most[index]}
        enough = len(spared) >= LEAST_SERVERS and 2 * total_weight(spared.values()) >= total_weight(
            pool.values()
        )
        return spared if enough else pool

    def _sides(self, table, halves, rates, asked, mean, whole):
        """What a shard holds of near servers, and of others above what near ones do at the mean."""
        (near, close), (far, distant) = halves
        need, part = close if table.zone_bound else close + distant, 1.0
        if not self._full() or self.parts > 1:
            share = (
                self.shares[table.class_index]
                * rates[table.number]
                / max(1e-9, asked[table.class_index])
            )
            # Larger shards are evener; where proxies can't step away, groups keep a failure from one another.
            target = (
                TARGET_APART if self.apart and not self.settings.proxy_failure_limit else TARGET
            )
            need = min(need, target * share * (whole if table.zone is not None else need))
        if not (table.zone_bound or table.zone is None):
            part = (mean * close - asked[table.zone, True]) / max(1e-9, asked[table.zone, False])
            part = round(max(0.0, min(1.0, part)) * 8) / 8  # in steps, for demand is never steady
        return (near, close, need * part), (far, distant, need * (1 - part))

    def _fill(self, table, shard, sides, loads, chance, slack):
        """Adds servers drawn at random, the least loaded of a few, until each side holds what it should."""
        for side, all_of_it, need in sides:
            weight, half = (
                total_weight(side[m] for m in shard if m in side),
                slack * all_of_it / max(1, len(side)),
            )
            lacks = weight < need - half or len(shard) < LEAST_SERVERS
            left = (
                sorted((side[i] for i in side.keys() - set(shard)), key=lambda s: s.stable_id)
                if lacks
                else []
            )
            while left and (weight < need - half or len(shard) < LEAST_SERVERS):
                draw = chance or SeededRandom(
                    seed_from(table.name, [server.stable_id for server in left])
                )
                some = (left[draw.below(len(left))] for _ in range(PICKS))
                server = min(
                    some, key=lambda server: (loads[server.index] / server.weight, server.stable_id)
                )
                left.remove(server)
                shard.append(server.index)
                weight += server.weight
        return shard

    def _draw(self, table, pool, sides, loads):
        """A shard drawn at random, capped in its overlap with others."""
        best, chance = (
            None,
            SeededRandom(
                seed_from(table.name, sorted(server.stable_id for server in pool.values()))
            ),
        )
        others = [set(other.members) for other in self.tables if other is not table]
        for _ in range(DRAWS):
            shard = self._fill(table, [], sides, loads, chance, 0.5)
            overlap = max((len(other.intersection(shard)) for other in others), default=0) / len(
                shard
            )
            best = min(
                best or (2.0,), (overlap, max(loads[i] / pool[i].weight for i in shard), shard)
            )
            if overlap <= OVERLAP_MOST:
                break
        return best[2]

    def _full(self):
        """Too busy to keep classes apart: some servers would idle beside jammed ones."""
        valve = self.valves[None]
        return valve.open < 1 or len(valve.seen) > 2 and min(valve.seen) > FULL * valve.calmest

    def _shards(self, rates):
        now, whole = self.host.now(), total_weight(self._ready().values())
        # Sums and halves serve all tables: with hundreds of these a turn would outlast the time to the next.
        (loads, bound, asked), pools, halves = (defaultdict(float) for _ in range(3)), {}, {}
        for table in self.tables:
            self._plan(table, rates, loads)
            if table.zone_bound:
                self._plan(table, rates, bound)
            asked[table.class_index] += rates[table.number]
            asked[table.zone, table.zone_bound] += self._rate(table, rates)
        mean = sum(self._rate(table, rates) for table in self.tables) / max(1e-9, whole)
        for table in self.tables:
            same = table.class_index, table.zone_bound and table.zone
            pool = pools[same] = pools.get(same) or self._pool(table)
            if not pool:
                table.members = []
                continue
            self._plan(table, rates, loads, -1)
            pool = pool if table.zone is not None else self._spared(table, pool, bound, mean)
            key = table if table.zone is None else (same, table.zone)
            halves[key] = halves.get(key) or table.near_and_far(pool)
            sides = self._sides(table, halves[key], rates, asked, mean, whole)
            if not table.drawn:
                table.members, table.drawn = self._draw(table, pool, sides, loads), True
            table.members = [member for member in table.members if member in pool]
            self._fill(table, table.members, sides, loads, None, 0.5)
            for side, all_of_it, need in (
                sides if now - table.resized_at > RESIZE_EVERY // 4 else ()
            ):
                members = [m for m in table.members if m in side]
                hot = max(
                    members,
                    key=lambda m: (loads[m] / pool[m].weight, pool[m].stable_id),
                    default=None,
                )
                over = total_weight(side[m] for m in members) - (
                    all_of_it / len(side) / 2 if need else 0
                )
                if (
                    len(table.members) > LEAST_SERVERS
                    and members
                    and (not need or loads[hot] > 1e-6)
                    and (over - pool[hot].weight > need - 1e-9)
                ):
                    table.members.remove(hot)
                    table.resized_at = now
            self._plan(table, rates, loads)
        covered = set().union(*(table.members for table in self.tables))
        for server in sorted(
            (s for i, s in self._ready().items() if i not in covered), key=lambda s: s.stable_id
        ):
            open_to = [
                t
                for t in self.tables
                if server.index in pools[t.class_index, t.zone_bound and t.zone]
            ]
            if open_to:
                max(
                    open_to,
                    key=lambda table: (
                        table.zone in (None, server.zone),
                        self._rate(table, rates)
                        / max(1e-9, total_weight(self.fleet[m] for m in table.members)),
                    ),
                ).members.append(server.index)

    def resume_tables(self, held):
        """{table: [server]} as published before a start or takeover: gone on with, so that nothing moves."""
        for table in self.tables:
            table.members, table.drawn = list(held.get(table.number, ())), table.number in held

    # Weights: as listed, but for the ramp and the guard over cold servers.

    def _ramp(self, server):
        now, born = self.host.now(), max(server.started, self.health[server.index].unejected_at)
        doublings = (now - born) // (self.settings.warm_up_time // RAMP_STEPS)
        return min(1.0, RAMP_FROM * 2**doublings) if born and now >= born else 1.0

    def _weigh(self, rates):
        now, cold_time, share = (
            self.host.now(),
            self.settings.warm_up_time,
            self.settings.cold_capacity_share,
        )
        # A warm server does at least what the fleet has lately completed for its weight; before anything is
        # heard, half of what proxies say: a planner may start over in a jam, where repeats swell that.
        shown, ready = sorted(self.valves[None].shown), self._ready()
        pace = (
            shown[-min(3, len(shown))]
            if shown
            else sum(proxy.stated_rate for proxy in self.proxies.values())
            / max(1e-9, 2 * total_weight(ready.values()))
        )
        pace *= self.settings.overload_multiple * TIP_MARGIN / self.settings.planner_count
        grown = (1 - share) / cold_time
        budgets = {
            index: server.weight * pace * (share + grown * max(0, now - server.started))
            for index, server in ready.items()
            if server.started and now - server.started < cold_time
        }
        ramps = {index: server.weight * self._ramp(server) for index, server in ready.items()}
        for table in self.tables:
            # Beside few warm ones, or while less is let in, a cold server waits: were those lost or left, it
            # would be sent all they had before a report tells. Proxies step away where many tries are lost.
            warm = [
                m
                for m in table.members
                if m not in budgets or now - ready[m].started > cold_time // 2
            ]
            few = warm and (
                len(warm) < LEAST_SERVERS
                or self.valves[None].open < 1
                or (self.settings.proxy_failure_limit and self.valves[None].lost > LOST)
            )
            table.target_weights = {m: ramps[m] for m in (warm if few else table.members)}
        # Ramps are relative: so load on each cold server is bounded too, and levels keep out what is over.
        cold = [table for table in self.tables if table.target_weights.keys() & budgets.keys()]
        for last in [False] * 6 + [True]:
            loads = defaultdict(float)
            for table in cold:
                weight, rate = sum(table.target_weights.values()), self._rate(table, rates)
                for member, part in table.target_weights.items():
                    loads[member] += rate * part / weight
            over = {
                m: budget / loads[m] for m, budget in budgets.items() if loads[m] > budget * 1.02
            }
            for table in cold if over and not last else ():
                table.target_weights = {
                    m: w * over.get(m, 1.0) for m, w in table.target_weights.items()
                }
        for table in self.tables:
            # Only proportions count: as near to the ramp as they allow, or lines would change for ever.
            spare = max((w / ramps[m] for m, w in table.target_weights.items()), default=1.0)
            table.target_weights = {m: w / spare for m, w in table.target_weights.items()}
            table.cold_level = min(
                [1.0] + [over[m] for m in table.target_weights if over.get(m, 1.0) < 0.9]
            )

    # ServerHealth and levels.

    def _level(self, table):
        return self.levels[table.class_index] * (
            self.valves[table.zone].open if table.zone_bound else 1.0
        )

    def _review(self):
        agreed, ready = min(kind.latency_objective for kind in self.classes), self._ready()
        self.reviewed_at, since = self.host.now(), self.host.now() - self._cycle() * 5 // 4
        # Its kind: the same machine, heard of by proxies of one zone, for the same classes: work differs.
        recent, times, fails = {}, defaultdict(list), {}
        serves = {
            i: frozenset(table.class_index for table in self.tables if i in table.published_weights)
            for i in ready
        }
        for index, server in ready.items():
            recent[index] = self.health[index].reports_since(since)
            for zone, (at, tries, failed, took, span) in recent[index]:
                if tries > failed and took:
                    sample = index, took, min(ENOUGH, tries - failed), at - span
                    times[zone, server.machine_type, serves[index]].append(sample)
            tries, failed = (sum(report[k] for _, report in recent[index]) for k in (1, 2))
            if tries >= ENOUGH:
                fails[index] = failed / tries if failed > ENOUGH // 2 else 0.0
        everything = [sample for samples in times.values() for sample in samples]
        busy = (quantile(0.5, [sample[1:3] for sample in everything]) or 0.0) / agreed
        for zone, valve in self.valves.items():
            self._turn_valve(zone, valve, self._ready(zone), everything, fails, agreed, busy)
        failing, near = median(fails.values()) if fails else 0.0, defaultdict(list)
        for index, part in fails.items():
            near[ready[index].zone].append(part)
        bad = {}
        for index, reports in recent.items():
            good = sum(report[1] - report[2] for _, report in reports)
            ratio = own = 0.0
            for zone, (_, tries, failed, took, _) in reports:
                others = [
                    sample[1:3]
                    for sample in times[zone, ready[index].machine_type, serves[index]]
                    if sample[0] != index
                ]
                if tries > failed and took and len(others) >= 2:
                    ratio += (tries - failed) / good * took / quantile(0.5, others)
                    own += (tries - failed) / good * took
            # Against medians: where most are bad the cause is common, and moving work spreads it. Failures
            # with slow answers mean too much work; with quick answers, or none, a server fails of itself.
            part, usual = fails.get(index, 0), max(failing, median(near[ready[index].zone] or [0]))
            if part > max(DEAD, 2 * failing) or part > FAILING + 2 * usual and ratio < SLOW / 1.5:
                bad[index] = "failing"
            elif ratio > SLOW and good >= ENOUGH and own > agreed * 0.4:
                bad[index] = "slow"
            elif reports:
                self.health[index].consecutive_failures = 0
        for index in sorted(bad, key=lambda i: (bad[i] != "failing", ready[i].stable_id)):
            self._strike(index, bad[index], ready, busy > BUSY)

    def _strike(self, index, cause, ready, busy):
        health, now = self.health[index], self.host.now()
        health.consecutive_failures += 1
        left = [place for place in self.order if place not in health.ejected_classes]
        if cause == "slow":
            # It still works: it leaves one shard, for a server not in it, and none while all are busy.
            most = 0 if busy or len(left) < 2 else 1
            left = [
                place
                for place in left
                if any(
                    index in table.members
                    and table.near(self._pool(table)).keys() - set(table.members)
                    for table in self.tables
                    if table.class_index == place
                )
            ][:most]
        if (
            health.consecutive_failures < (1 if cause == "failing" or health.unejected_at else 2)
            or not left
        ):
            return
        longer = min(SPELL_MOST, health.ejection_time * 2) if health.unejected_at else SPELL
        health.ejection_time = SPELL_MOST if cause == "slow" else longer
        self._bar(index, left, ready, cause)

    def _bar(self, index, places, ready, cause):
        health, out = (
            self.health[index],
            total_weight(
                server
                for i, server in ready.items()
                if self.health[i].ejected_classes or i == index
            ),
        )
        if out > total_weight(ready.values()) * (OUT_SLOW if cause == "slow" else OUT_FAILED):
            return
        health.ejected_classes, health.unejected_at, health.consecutive_failures = (
            health.ejected_classes | frozenset(places),
            0,
            0,
        )
        health.fully_ejected, health.next_check_at = (
            cause != "slow",
            self.host.now() + health.ejection_time,
        )
        self.host.log(f"server {index} leaves classes {places}: {cause}")

    def _try_again(self, health):
        (
            health.ejected_classes,
            health.fully_ejected,
            health.consecutive_failures,
            health.unejected_at,
        ) = (
            frozenset(),
            False,
            0,
            self.host.now(),
        )
        health.judged_from = health.unejected_at + self._echo()

    def _turn_valve(self, zone, valve, ready, everything, fails, agreed, fleet_busy):
        now, period = self.host.now(), self.settings.report_period
        tried, done = (
            sum(flow)
            for flow in zip((0, 0), *(self.health[i].request_rates(now, period) for i in ready))
        )
        weight = sum(server.weight * self._ramp(server) for server in ready.values())
        took = [sample[1:3] for sample in everything if sample[0] in ready]
        # Reports begun before the last turn arrived tell of what was before: cut by them, levels fell twice.
        arrived = (
            valve.turned_at + self.settings.channel.max_delivery_delay + self.channel.lateness(now)
        )
        since = [sample[1:3] for sample in everything if sample[0] in ready and sample[3] > arrived]
        told = since if 2 * len(since) >= len(took) else took
        failing = [part for index, part in fails.items() if index in ready]
        # Without proxies nothing is let in: wound down by what others bring, levels refuse who joins later.
        if not (weight and tried and failing and self.proxies.joined()):
            return
        # Two of five slow answers tell a flood from a few bad servers. No answer at all is the deepest jam.
        busy = quantile(0.6, told) / agreed if took else 2.0
        # In a jam the fleet's valve decides, unless a zone is far worse by the word of half its servers.
        may_cut = (told is since or valve.open == 1) and (
            zone is None
            or 2 * len(failing) >= len(ready)
            and (self.valves[None].open == 1 or fleet_busy < BUSY and busy > 1.5 * fleet_busy)
        )
        calm = min(other.calmest for other in self.valves.values())
        if valve.turn(now, self._echo(), calm, busy, median(failing), tried, done, weight, may_cut):
            refuse = 1 - self.valves[None].open
            for place in sorted(self.order, key=lambda k: (self.classes[k].priority_weight, k)):
                # What earns the least credit is refused first, but never all of it.
                cut = min(refuse, self.natural[place] * 0.95)
                refuse -= cut
                self.levels[place] = 1 - cut / self.natural[place] if self.natural[place] else 1.0
            self.host.log(f"zone {zone} open {valve.open:.2f} busy {busy:.2f} tried {tried:.0f}")

    def _push(self):
        """Writes what has changed: what the rules need first, then the largest, as the channel allows."""
        now, most, span = (
            self.host.now(),
            self.settings.channel.max_messages,
            self.settings.channel.message_window,
        )
        ready, changes = self._ready(), []
        drained = pressing = self._withdraw(ready)
        for table in self.tables:
            for server in table.published_weights.keys() | table.target_weights.keys():
                old, new = (
                    table.published_weights.get(server, 0.0),
                    round(table.target_weights.get(server, 0.0), 4),
                )
                if abs(new - old) > 0.1 * max(new, old):
                    cold = (
                        server in ready and now - ready[server].started < self.settings.warm_up_time
                    )
                    changes.append(
                        (
                            server in ready and not (cold and new < old),
                            -abs(new - old),
                            table.number,
                            server,
                            new,
                            table,
                        )
                    )
            level = min(table.cold_level, self._level(table))
            if (
                table.published_level is None
                or abs(level - table.published_level) > 0.03
                or (level == 1.0 != table.published_level)
            ):
                changes.append(
                    (level >= (table.published_level or 0), -9e9, table.number, -1, level, table)
                )
        pressing = pressing or any(not change[0] for change in changes)
        # Cold lines and levels move with each join: written at once they spent what a drain needed then.
        gap = 0 if drained else span // most if most else 0
        if changes and now - self.pushed_at < (gap if pressing else max(TURN, 2 * gap)):
            return
        limit = self.settings.channel.max_waiting_lines * QUEUE_PART
        for ordinary, _, _, server, value, table in sorted(changes, key=lambda change: change[:4]):
            turn = self.settings.channel.lines_per_second * self.channel.pace * LINES_TURN
            room = min(limit, turn) if ordinary else limit
            queue = self.channel.queued_lines(now) + self.channel.cost(table.proxies, 1)
            if table.proxies and (
                queue > room or not self._may_write(table.proxies, 5 if ordinary else 3)
            ):
                continue
            self.channel.record_orders(self.proxies, table.proxies, 1, now)
            if server < 0:
                table.published_level = value
                # Tried again on proof that it never ran: else work doubles, and may take effect twice.
                self.host.set_admission(
                    table.number,
                    [table.class_index],
                    self._stated(table, value),
                    RetryPolicy.ONCE_IF_NOT_EXECUTED,
                )
            else:
                self.host.set_weight(table.number, server, value)
                table.published_weights[server] = value
                if not value:
                    del table.published_weights[server]
        self.pushed_at = now if self.channel.reached else self.pushed_at

    def _withdraw(self, ready):
        joined, now, before = self.proxies.joined(), self.host.now(), set(self.withdrawn)
        stale = (self.health.keys() - ready.keys() - self.withdrawn) | (
            self.withdrawn & ready.keys()
        )
        for server in sorted(stale):
            # Those that hold it, or may, are written to; who can't be holds back no other tables' drains.
            holders = joined.intersection(self.joining).union(
                *(t.proxies for t in self.tables if server in t.published_weights)
            )
            if not self._may_write(holders, 1):
                continue
            if server in ready:
                self.host.uneject_server(server)
            else:
                self.host.eject_server(server)
            self.health[server].next_check_at = now
            self.channel.record_orders(self.proxies, holders, 1, now)
            self.withdrawn ^= {server}
        return self.withdrawn != before

    def _may_write(self, proxies, spare):
        """Whether so many messages more, beside this one, would stay under what each may be written."""
        most, now = self.settings.channel.max_messages, self.host.now()
        return not most or all(
            self.channel.messages_written(self.proxies[proxy], now) + spare < most
            for proxy in proxies
            if proxy not in self.channel.reached
        )

    def _stated(self, table, level):
        if self.settings.admission_mode != AdmissionMode.RATE:
            return level
        rate = (
            self._rate(table, self.proxies.table_rates(self.host.now()))
            * level
            / self._level(table)
        )
        return 1e6 if level >= 1 else max(0.1, rate / max(1, len(table.proxies)))

    # Sites with slices: each slice's server stays until it drains or goes, then the next in a seeded draw.

    def on_key_range_assigned(self, table, on):
        self.slices.pop(table, None)
        if on:
            self.slices[table] = set()

    def on_key_range_server(self, table, server, weight):
        if table in self.slices and weight > 0:
            self.slices[table].add(server)

    def on_key_range_demand(self, table, place, exchanges, failed, span):
        pass  # slices are kept where they are; their demand decides nothing yet

    def _settle_slices(self):
        now, ready = self.host.now(), self._ready()
        self._withdraw(ready)
        # A single owner hands over only when no write can be on its way to it any more.
        single = self.settings.exclusive_ownership
        rest = (
            2 * self.settings.channel.max_delivery_delay + self.settings.write_settle_time
            if single
            else 0
        )
        ranked = sorted(ready.values(), key=lambda server: server.stable_id)
        for table, held in sorted(self.slices.items()):
            free = not held & ready.keys() and all(
                now >= self.health[old].next_check_at + rest for old in held
            )
            if (
                free
                and ranked
                and self.channel.queued_lines(now)
                < self.settings.channel.max_waiting_lines * QUEUE_PART
            ):
                chance = SeededRandom(
                    seed_from(str(table), [server.stable_id for server in ranked])
                )
                self.slices[table] = {ranked[chance.below(len(ranked))].index}
                for server in ([] if single else sorted(held)) + list(self.slices[table]):
                    self.host.set_weight(table, server, 0.0 if server in held else 1.0)
                self.channel.record_orders(self.proxies, self.proxies.joined(), 2, now)
