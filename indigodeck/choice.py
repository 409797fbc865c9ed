"""Decides which servers serve which class of exchanges, by shuffle sharding (see docs/design.md).

Make one `Assigner` for each instance with a host (the Protocol `Host` in host.py), the charter (a plain
map of what the deployment states at start) and a seed. Then call the method named for what has happened,
`listed` for the list of servers, `proxy_joined` for a proxy, `heard` and `demand` for reports, and so on;
it acts by calling the host. Times are whole microseconds, ids small indices.
"""
from collections import defaultdict, deque
from statistics import median

from .host import CACHED, CHANGES, DRAINING, READY

SECOND = 1_000_000
TURN = SECOND // 4          # between two looks at reports, shards and the channel
# Shards (the design's starting values, and what measuring has made of them).
SHARE_TARGET, LEAST_SERVERS, OVERLAP_MOST, DRAWS, PICKS = 2.0, 4, 0.5, 5, 8
GROUP = 10                  # proxies of a zone that share a table, where there are so many
RESIZE_EVERY, RESIZE_BY = 10 * SECOND, 0.08
HOT, COOL = 1.15, 0.95      # planned load by other shards, over the fleet's mean, that keeps a server out
RAMP_FROM, RAMP_STEPS = 0.25, 3      # a newcomer's first weight; doublings spread over the cold time
TIP_MARGIN = 0.4            # guard: part of what would tip a cold server that is planned for
SLOW, FAILING, DEAD, ENOUGH = 2.2, 0.25, 0.85, 8
OUT_SLOW, OUT_FAILED = 0.2, 0.5      # share of listed weight that may be out for either cause
SPELL, SPELL_MOST = 8 * SECOND, 40 * SECOND
DOUBT = SECOND              # between two looks at a server that is listed as gone but may run
BUSY, CALM, ABLE_PART, FULL = 0.5, 0.4, 0.9, 1.2
LINES_TURN, QUEUE_PART = 0.25, 0.45  # seconds of the channel an ordinary push may take; part of its limit


class Chance:
    """A linear congruential generator; its low bits have short periods, so the high ones are used."""

    def __init__(self, seed):
        self.state = seed & (1 << 64) - 1

    def below(self, bound):
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (1 << 64) - 1
        return (self.state >> 32) * bound >> 32


def quantile(part, samples):
    """Of values that each come with a weight; None if there are none."""
    left = part * sum(weight for _, weight in samples)
    for value, weight in sorted(samples):
        left -= weight
        if left <= 0:
            return value


def weigh(servers):
    return sum(server.weight for server in servers)


def seed_from(name, raws):
    """The same for every instance and every start: Python's own hash differs between processes."""
    mixed = 14695981039346656037
    for byte in name.encode() + b"".join(raws):
        mixed = ((mixed ^ byte) * 1099511628211) & (1 << 64) - 1
    return mixed


class Table:
    """One class's table, or one of its groups of proxies, and what they hold of it. `bound`: to its zone."""

    def __init__(self, number, place, zone, bound, name):
        self.number, self.place, self.zone, self.bound, self.name = number, place, zone, bound, name
        self.members, self.want, self.lines, self.users = [], {}, {}, set()
        self.drawn, self.resized_at, self.level, self.guard = False, 0, None, 1.0


class Proxy:
    def __init__(self, zone, rate, demand):
        self.zone, self.rate, self.demand, self.joined = zone, rate, demand, True
        self.left_at, self.written = 0, deque(maxlen=256)


class Health:
    """What is known against a server: reports, strikes, the classes it is barred from and until when."""

    def __init__(self, started=0, judge_from=0):
        self.started, self.falls = started, 0
        self.reports, self.strikes, self.barred, self.out = {}, 0, frozenset(), False
        self.until, self.spell, self.trial, self.judge_from, self.probing = 0, SPELL, 0, judge_from, False


class Valve:
    """How much is let in to servers that share their load, steered by what they have shown they complete.

    Answer times tell: they rise seconds before exchanges fail, and stay flat while proxies stand still.
    """

    def __init__(self):
        self.open, self.target, self.asked, self.failed = 1.0, 0.0, 0.0, 0.0
        self.turned_at, self.cut, self.calmest = 0, False, 9.0
        self.shown, self.seen = deque(maxlen=32), deque(maxlen=3)

    def turn(self, now, echo, calmest, busy, failing, tried, done, weight, may_cut):
        # In a jam the fleet completes less than it can, for work done for clients that have given up counts
        # for nothing; levels cut to that would never find the way out. So the best it has shown, but for two.
        self.shown.append(done / weight)
        able = sorted(self.shown)[-min(3, len(self.shown))] * weight
        before, settled = self.open, now >= self.turned_at + echo
        self.seen.append(busy)
        self.calmest = min(self.calmest, max(self.seen))
        # Failures tell of a jam only as far as answers are slower than they can be: clients that leave early
        # and servers that fail quickly leave the answer times as they are.
        strain = busy + 4 * min(failing, 0.1) * min(1.0, max(0.0, busy / min(calmest, self.calmest) - 1))
        if self.open == 1 and (strain < CALM or not self.asked):
            self.asked = tried          # later, repeats would count as demand
        # One period ahead: what is ordered now takes effect only then.
        strain += min(0.15, max(0.0, busy - self.seen[0]))
        slower = busy > 1.25 * self.calmest or failing > 0.02 or busy > 0.6
        if strain > BUSY and slower and may_cut and (settled or failing > self.failed + 0.15):
            # Below it by the part that fails, to let the queues drain before clients' repeats fill them.
            self.target, self.failed, self.cut = (ABLE_PART - min(0.5, failing)) * able, failing, True
            part = max(self.open * self.target / tried, 0.6 * self.target / self.asked)
            self.open = max(0.1, min(self.open, part))
        elif self.open < 1 and busy < CALM and (settled or self.cut):
            # Reports lag: one step up on the first calm ones, no further than what was asked for.
            self.target, self.failed, self.cut = max(self.target * 1.06, ABLE_PART * able), 0.0, False
            part = min(self.open * self.target / tried, max(self.open * 1.15, self.target / self.asked))
            self.open = min(1.0, max(self.open * 1.06, part))
        self.turned_at = now if self.open != before else self.turned_at
        return self.open != before


class Assigner:
    def __init__(self, host, charter, seed):
        self.host, self.charter, self.chance = host, charter, Chance(seed)
        self.classes, zones = charter["classes"], charter["zones"]
        self.order = sorted(range(len(self.classes)), key=lambda k: self.classes[k]["name"])
        self.tables, self.valves, self.serving = [], {None: Valve()}, defaultdict(list)
        # One table of a shard for all proxies would be proxies times servers connections and lines: where
        # proxies are many, those of a zone form groups, each a class of its own to the shards.
        apart = charter["proxies"] >= zones * GROUP
        self.parts = max(1, charter["proxies"] // (zones * GROUP))
        for place in [] if charter["slices"] else self.order:
            kind, per_zone = self.classes[place], apart or self.classes[place]["own_zone"]
            for zone in range(zones) if per_zone else [None]:
                for part in range(self.parts):
                    number = (part * len(self.order) + place) * (zones + 1)
                    number += 0 if zone is None else zone + 1
                    name = kind["name"] + (f" {zone} {part}" if apart else "")
                    table = Table(number, place, zone, kind["own_zone"], name)
                    self.tables.append(table)
                    for near in range(zones) if zone is None else [zone]:
                        self.serving[near, part].append(table)
                if kind["own_zone"]:
                    self.valves[zone] = Valve()
        self.fleet, self.health, self.proxies, self.doubted = {}, defaultdict(Health), {}, {}
        self.withdrawn, self.shares, self.shared_at = set(), {}, 0
        self.natural, self.joining = {place: 1 / len(self.order) for place in self.order}, []
        self.levels = {place: 1.0 for place in self.order}
        self.waiting, self.waited_at, self.channel, self.reached = 0.0, host.now(), 1.0, set()
        self.marks, self.mark_number, self.pushed_at = {}, 0, host.now() - 10 * SECOND
        self.spans = deque(maxlen=64)
        self.heard_at, self.reviewed_at, self.asked_at, self.pause = 0, 0, 0, SECOND
        self.subscribed, self.slices = not charter["list_asked"], {}
        if not self.subscribed:
            self._ask()
        host.wake(TURN, 0)

    # The list of servers.

    def _ask(self):
        self.asked_at = self.host.now()
        self.host.watch(True)

    def list_failed(self):
        # The call or the subscription failed, which is not told: ask again, later each time and not in step
        # with others, so that a slow list service is not kept down.
        self.subscribed, self.pause = False, min(self.pause * 2, 8 * SECOND)
        self.host.wake(self.pause // 2 + self.chance.below(self.pause), 1)

    def listed(self, kind, servers):
        if kind != CACHED:
            self.subscribed, self.pause = True, SECOND
        if kind != CHANGES:
            for index in sorted(self.fleet.keys() - {server.index for server in servers}):
                self._gone(index)
        for server in servers:
            if server.state not in (READY, DRAINING):
                self._gone(server.index)
                continue
            self.doubted.pop(server.index, None)
            self.fleet[server.index] = server if 0 < server.weight < 1e9 else server._replace(weight=1.0)
            before = self.health.get(server.index)
            if before is None or before.started != server.started:
                # A new process: what was held against the old one says nothing of it, but that it fell.
                health = Health(server.started, 0 if kind == CACHED else self.host.now() + self._echo())
                self.health[server.index] = health
                if before and 0 < before.started > server.started - 4 * self.charter["cold_time"]:
                    health.falls = before.falls + 1
                    health.spell = min(SPELL_MOST, SPELL << health.falls)
                    self._bar(server.index, self.order, self._ready(), "falls again and again")
        self._act()

    def _gone(self, index):
        """Out at once, unless this deployment's list may be wrong in that: then it stays while it answers."""
        if self.charter["gone_binds"] or index not in self.fleet or self.fleet[index].state != READY:
            self.fleet.pop(index, None)
            self.doubted.pop(index, None)
        else:
            self.doubted.setdefault(index, self.host.now())

    def _ask_doubted(self):
        now = self.host.now()
        for index, due in list(self.doubted.items()):
            if now >= due:
                self.doubted[index] = now + DOUBT
                if self.charter["probes"]:
                    self.host.probe(index)
                elif not any(at > now - DOUBT - self._cycle() and failed < tries for reports in self.health[
                        index].reports.values() for at, tries, failed, _, _ in reports):
                    self._drop(index)

    def _drop(self, index):
        self.fleet.pop(index, None)
        del self.doubted[index]

    def _ready(self, zone=None):
        return {index: server for index, server in self.fleet.items()
                if server.state == READY and zone in (None, server.zone)}

    # Proxies.

    def proxy_joined(self, proxy, zone, rate, fresh):
        demand = self.proxies[proxy].demand if proxy in self.proxies else {}
        self.proxies[proxy] = Proxy(zone, rate if 0 < rate < 1e9 else 1.0, demand)
        if not self.joining:
            self.host.wake(1, 2)        # with all that join at this moment: draws go by their demand
        self.joining.append(proxy)

    def _bind(self):
        """Puts proxies on their tables, at once but for what the channel's queue can't hold: until then they
        follow old tables, so those with the most traffic go first."""
        limit, rest = self.charter["waiting_most"] * QUEUE_PART, []
        self._drain_account()
        for proxy in sorted(set(self.joining), key=lambda p: (-self.proxies[p].rate, p)):
            tables = self._tables_of(proxy)
            lines = self.charter["head_lines"] + sum(
                2 + len(table.lines) + len(self.withdrawn & table.lines.keys()) for table in tables)
            if not self.proxies[proxy].joined:
                continue
            if rest or self.waiting and self.waiting + lines > limit:
                rest.append(proxy)
                continue
            for table in tables:
                table.users.add(proxy)
                self.host.bind(proxy, table.number, [table.place])
            self._charge([proxy], lines - (0 if proxy in self.reached else self.charter["head_lines"]))
        self.joining = rest

    def _tables_of(self, proxy):
        return self.serving[self._seat(proxy)]

    def _seat(self, proxy):
        """Its zone and group: the same at every planner and after every start."""
        return self.proxies[proxy].zone, Chance(proxy).below(self.parts)

    def proxy_left(self, proxy):
        if proxy in self.proxies:
            self.proxies[proxy].joined, self.proxies[proxy].left_at = False, self.host.now()
        for table in self.tables:
            table.users.discard(proxy)

    # Reports and answers.

    def heard(self, zone, server, tries, failed, took, span, load):
        self.heard_at = self.host.now()
        if tries and span:
            self.spans.append(span)
            self.health[server].reports.setdefault(zone, deque(maxlen=4)).append(
                (self.heard_at, tries, min(failed, tries), took, span))

    def demand(self, proxy, place, exchanges, failed, span):
        if proxy in self.proxies and span:
            self.proxies[proxy].demand.setdefault(place, deque(maxlen=3)).append((exchanges, span))

    def applied(self, proxy, number, took):
        # The first answer to a mark shows how fast the channel really is; the others add proxies' own stalls.
        if number in self.marks:
            _, ahead = self.marks.pop(number)
            promised = ahead / self.charter["lines_per_s"] * SECOND + self.charter["way_longest"]
            self.channel = max(0.2, min(1.0, promised / max(took, 1)))

    def probed(self, server, outcome, took, load):
        health = self.health[server]
        health.probing = False
        health.until = self.host.now() + SPELL // 2
        if server in self.doubted and outcome not in ("ok", "full"):
            self._drop(server)
            self._act()
        if health.barred and outcome == "ok":
            self._try_again(health)

    def told(self, peer, data):
        pass        # planners share nothing that these decisions need

    def woken(self, token):
        now = self.host.now()
        if not self.subscribed and (token == 1 or now - self.asked_at > 20 * SECOND):
            self._ask()
        if token == 0:
            self.host.wake(TURN, 0)
        if token == 2 and not self.joining:
            return
        self._ask_doubted()
        due = self.reviewed_at + self.charter["report_period"] // 2
        if self.tables and self.heard_at > self.reviewed_at and now >= due:
            self._review()
        for index, health in self.health.items():
            if health.barred and now >= health.until and not health.probing and index in self.fleet:
                if self.charter["probes"]:
                    health.probing = True
                    self.host.probe(index)
                else:
                    self._try_again(health)
        self._act()

    def _act(self):
        self.reached = set()
        if self.charter["slices"]:
            return self._settle_slices()
        if not self.proxies:
            return      # draws go by planned load: without any, busy servers would be met by chance
        expected = self._expected(self._rates())
        self._resize(expected)
        self._shards(expected)
        self._weigh(self._rates(peak=True))
        self._push()
        self._bind()

    # Demand.

    def _echo(self):
        """How long after an order reports can reflect it: its way out, and one whole period after."""
        return self.charter["way_longest"] + self.charter["report_period"] + self._cycle()

    def _cycle(self):
        """What reports cover: where there are more than are let in a second, several periods each."""
        return max(self.charter["report_period"], round(median(self.spans)) if self.spans else 0)

    def _rates(self, peak=False):
        """Exchanges a second by table, of proxies lately out of reach too; bound classes' at their `peak`."""
        now, rates, rises = self.host.now(), defaultdict(float), defaultdict(float)
        for number, proxy in self.proxies.items():
            if not proxy.joined and now - proxy.left_at > 20 * SECOND:
                continue
            for table in self._tables_of(number):
                samples = proxy.demand.get(table.place)
                if samples:
                    rate = sum(many for many, _ in samples) * SECOND / sum(span for _, span in samples)
                    if peak and table.bound:
                        top = max(many * SECOND / span for many, span in samples)
                        rises[table.number] += (top - rate) ** 2        # many proxies' peaks seldom meet
                else:
                    rate = 0.0 if proxy.demand else proxy.rate / len(self.order)
                rates[table.number] += rate
        for number, squares in rises.items():
            rates[number] += squares ** 0.5
        return rates

    def _expected(self, rates):
        """The same, with what proxies bring that have not joined yet, or joined another planner."""
        known = defaultdict(int)
        for proxy in self.proxies:
            known[self._seat(proxy)] += 1
        seats = self.charter["proxies"] / len(self.serving)
        missing = {seat: max(0.0, seats - known[seat]) for seat in self.serving}
        scale = max(0, self.charter["proxies"] - len(self.proxies)) / max(1e-9, sum(missing.values()))
        usual = defaultdict(float)
        for table in self.tables:
            usual[table.place] += rates[table.number] / len(self.proxies)
        for seat, serving in self.serving.items():
            for table in serving:
                rates[table.number] += usual[table.place] * missing[seat] * scale
        return rates

    def _rate(self, table, rates):
        """What is let in of a table's exchanges, a second."""
        return self._level(table) * rates.get(table.number, 0.0)

    def _resize(self, rates):
        now, total = self.host.now(), sum(rates.values())
        if self.valves[None].open == 1 and total:       # else repeats of refused ones would count as demand
            self.natural = {place: sum(rates.get(table.number, 0.0) for table in self.tables
                                       if table.place == place) / total for place in self.order}
        moved = max(abs(self.natural[place] - self.shares.get(place, 0)) for place in self.order)
        if not self.shares or moved > RESIZE_BY and now - self.shared_at > RESIZE_EVERY:
            self.shares, self.shared_at = self.natural, now

    # Shards.

    def _pool(self, table):
        ready = self._ready(table.zone if table.bound else None)
        full = self._full()
        fit = {index: server for index, server in ready.items() if not self.health[index].out and (
            full or table.place not in self.health[index].barred)}
        # With most barred, doubtful servers beat too few: those left would be next.
        return fit if 2 * weigh(fit.values()) >= weigh(ready.values()) else ready

    def _plan(self, table, rates, loads, sign=1):
        """Adds a shard's planned load on each of its servers, by listed weight, or takes it off again."""
        members = [self.fleet[m] for m in table.members if m in self.fleet]
        rate = sign * self._rate(table, rates) / max(1e-9, weigh(members))
        for server in members:
            loads[server.index] += rate * server.weight

    def _spared(self, table, pool, loads, mean):
        """The pool without servers that zone-bound shards alone load above the fleet's mean: a class that may
        go anywhere leaves them. Other shards do not count: classes would part the fleet between them."""
        most = {index: (HOT if index in table.members else COOL) * mean * server.weight
                for index, server in pool.items()}
        spared = {index: server for index, server in pool.items() if loads[index] <= most[index]}
        enough = len(spared) >= LEAST_SERVERS and 2 * weigh(spared.values()) >= weigh(pool.values())
        return spared if enough else pool

    @staticmethod
    def _near(table, pool):
        return {index: server for index, server in pool.items() if table.zone in (None, server.zone)}

    def _sides(self, table, pool, rates, mean):
        """What a shard holds of servers near its proxies, and of others: these only for the part of a zone's
        exchanges that is above what its servers would do at the fleet's mean."""
        near = self._near(table, pool)
        need, part = self._need(table, near if table.bound else pool, rates), 1.0
        if not (table.bound or table.zone is None):
            asked = {bound: sum(self._rate(other, rates) for other in self.tables if other.zone == table.zone
                                and other.bound == bound) for bound in (False, True)}
            part = (mean * weigh(near.values()) - asked[True]) / max(1e-9, asked[False])
            part = round(max(0.0, min(1.0, part)) * 8) / 8      # in steps, for demand is never steady
        far = {index: server for index, server in pool.items() if index not in near}
        return (near, need * part), (far, need * (1 - part))

    def _pick(self, left, loads, chance):
        some = (left[chance.below(len(left))] for _ in range(PICKS))
        return min(some, key=lambda server: (loads[server.index] / server.weight, server.raw))

    def _fill(self, table, shard, sides, loads, chance, slack):
        """Adds servers drawn at random, each the less loaded of two, until each side holds what it should."""
        for side, need in sides:
            left = sorted((side[index] for index in side.keys() - set(shard)), key=lambda s: s.raw)
            weight = weigh(side[m] for m in shard if m in side)
            half = slack * weigh(side.values()) / max(1, len(side))
            while left and (weight < need - half or len(shard) < LEAST_SERVERS):
                seed = seed_from(table.name, [server.raw for server in left])
                server = self._pick(left, loads, chance or Chance(seed))
                left.remove(server)
                shard.append(server.index)
                weight += server.weight
        return shard

    def _draw(self, table, pool, sides, loads):
        """A shard drawn at random, capped in its overlap with others."""
        best, chance = None, Chance(seed_from(table.name, sorted(server.raw for server in pool.values())))
        for _ in range(DRAWS):
            shard = self._fill(table, [], sides, loads, chance, 0.5)
            overlap = max((len(set(shard) & set(other.members)) / len(shard) for other in self.tables
                           if other is not table and other.members), default=0)
            peak = max(loads[index] / pool[index].weight for index in shard)
            best = min(best or (2.0,), (overlap, peak, shard))
            if overlap <= OVERLAP_MOST:
                break
        return best[2]

    def _full(self):
        """Too busy to keep classes apart: some servers would idle beside jammed ones."""
        valve = self.valves[None]
        return valve.open < 1 or len(valve.seen) > 2 and min(valve.seen) > FULL * valve.calmest

    def _need(self, table, pool, rates):
        """The listed weight that a shard wants: by the class's share, and its proxies' part of the class."""
        here = weigh(pool.values())
        wide = sum(rates.get(other.number, 0.0) for other in self.tables if other.place == table.place)
        share = self.shares[table.place] * rates.get(table.number, 0.0) / max(1e-9, wide)
        whole = weigh(self._ready().values()) if table.zone is not None else here
        if self._full() and self.parts == 1:
            return here
        return min(here, SHARE_TARGET * share * whole)

    def _shards(self, rates):
        now, whole = self.host.now(), weigh(self._ready().values())
        loads, bound = defaultdict(float), defaultdict(float)
        for table in self.tables:
            self._plan(table, rates, loads)
            if table.bound:
                self._plan(table, rates, bound)
        mean, pools = sum(self._rate(table, rates) for table in self.tables) / max(1e-9, whole), {}
        for table in self.tables:
            same = table.place, table.bound and table.zone
            if same not in pools:       # once for all groups of a class: most of the work on a large fleet
                pools[same] = self._pool(table)
            pool = pools[same]
            if not pool:
                table.members = []
                continue
            self._plan(table, rates, loads, -1)
            if table.zone is None:
                pool = self._spared(table, pool, bound, mean)
            sides = self._sides(table, pool, rates, mean)
            if not table.drawn:
                table.members, table.drawn = self._draw(table, pool, sides, loads), True
            table.members = [member for member in table.members if member in pool]
            self._fill(table, table.members, sides, loads, None, 0.5)
            for side, need in sides:
                members = [m for m in table.members if m in side]
                rested = now - table.resized_at > RESIZE_EVERY // 4
                if members and len(table.members) > LEAST_SERVERS and rested:
                    half = weigh(side.values()) / len(side) / 2 if need else 0
                    hot = max(members, key=lambda m: (loads[m] / pool[m].weight, pool[m].raw))
                    if weigh(side[m] for m in members) - pool[hot].weight > need + half - 1e-9 and (
                            loads[hot] > 1e-6 or not need):
                        table.members.remove(hot)
                        table.resized_at = now
            self._plan(table, rates, loads)
        covered = set().union(*(table.members for table in self.tables))
        for server in sorted(self._ready().values(), key=lambda server: server.raw):
            open_to = [] if server.index in covered else [
                table for table in self.tables
                if server.index in pools[table.place, table.bound and table.zone]]
            if open_to:
                max(open_to, key=lambda table: (
                    table.zone in (None, server.zone), self._rate(table, rates) / max(1e-9, weigh(
                        self.fleet[m] for m in table.members)))).members.append(server.index)

    # Weights: as listed, but for the ramp and the guard over cold servers.

    def _ramp(self, server):
        now, born = self.host.now(), max(server.started, self.health[server.index].trial)
        doublings = (now - born) // (self.charter["cold_time"] // RAMP_STEPS)
        return min(1.0, RAMP_FROM * 2 ** doublings) if born and now >= born else 1.0

    def _weigh(self, rates):
        now, cold_time, share = self.host.now(), self.charter["cold_time"], self.charter["cold_share"]
        # A warm server does at least what the fleet has lately completed for each unit of listed weight, or,
        # before anything is heard, half of what proxies say they usually bring: a planner that starts over
        # may come into a jam, where repeats swell what they say.
        shown, ready = sorted(self.valves[None].shown), self._ready()
        pace = shown[-min(3, len(shown))] if shown else sum(
            proxy.rate for proxy in self.proxies.values()) / max(1e-9, 2 * weigh(ready.values()))
        pace *= self.charter["tip_multiple"] * TIP_MARGIN / self.charter["instances"]
        grown = (1 - share) / cold_time
        budgets = {index: server.weight * pace * (share + grown * max(0, now - server.started))
                   for index, server in ready.items() if server.started and now - server.started < cold_time}
        for table in self.tables:
            # Beside few warm ones a cold server waits: were those lost, it would be sent all that they had
            # before any list or report can tell. So it does in a jam, when proxies step away from the rest.
            warm = [m for m in table.members if m not in budgets or now - ready[m].started > cold_time // 2]
            few = warm and (len(warm) < LEAST_SERVERS or self.valves[None].cut)
            table.want = {m: self.fleet[m].weight * self._ramp(self.fleet[m])
                          for m in (warm if few else table.members)}
        # Ramps are relative: where most of a shard is cold they protect nothing. Load over all classes is
        # bounded on each cold server; what warm ones can't take is kept out by the tables' levels.
        for last in [False] * 6 + [True]:
            loads = defaultdict(float)
            for table in self.tables:
                weight, rate = sum(table.want.values()), self._rate(table, rates)
                for member, part in table.want.items():
                    loads[member] += rate * part / weight
            over = {m: budget / loads[m] for m, budget in budgets.items() if loads[m] > budget * 1.02}
            for table in self.tables:
                if last:
                    # Only proportions count: written as near to the ramp as they allow, or lines would change
                    # all the time where everything is cold.
                    spare = max((w / (self.fleet[m].weight * self._ramp(self.fleet[m]))
                                 for m, w in table.want.items()), default=1.0)
                    table.want = {m: w / spare for m, w in table.want.items()}
                    table.guard = min([1.0] + [over[m] for m in table.want if over.get(m, 1.0) < 0.9])
                else:
                    table.want = {m: w * over.get(m, 1.0) for m, w in table.want.items()}

    # Health and levels.

    def _level(self, table):
        """The part of a class that is let in, but for the guard over cold servers."""
        return self.levels[table.place] * (self.valves[table.zone].open if table.bound else 1.0)

    def _review(self):
        agreed, ready = min(kind["agreed_time"] for kind in self.classes), self._ready()
        self.reviewed_at, since = self.host.now(), self.host.now() - self._cycle() * 5 // 4
        # Its kind: the same machine, heard of by proxies of one zone, for the same classes: work differs.
        recent, times, fails, kinds = {}, defaultdict(list), {}, defaultdict(set)
        for table in self.tables:
            for index in table.lines:
                kinds[index].add(table.place)
        for index, server in ready.items():
            recent[index] = [(zone, report) for zone, reports in self.health[index].reports.items()
                             for report in reports if report[0] > max(since, self.health[index].judge_from)]
            for zone, (_, tries, failed, took, _) in recent[index]:
                if tries > failed and took:
                    times[zone, server.kind, frozenset(kinds[index])].append((index, took, tries - failed))
            tries, failed = (sum(report[k] for _, report in recent[index]) for k in (1, 2))
            if tries >= ENOUGH:
                fails[index] = failed / tries if failed > ENOUGH // 2 else 0.0
        everything = [sample for samples in times.values() for sample in samples]
        busy = (quantile(0.5, [sample[1:] for sample in everything]) or 0.0) / agreed
        for zone, valve in self.valves.items():
            self._turn_valve(zone, valve, self._ready(zone), everything, fails, agreed, busy)
        failing = median(fails.values()) if fails else 0.0
        near = {zone: max(failing, median([part for i, part in fails.items() if ready[i].zone == zone]))
                for zone in {ready[i].zone for i in fails}}
        bad = {}
        for index, reports in recent.items():
            good = sum(report[1] - report[2] for _, report in reports)
            ratio = own = 0.0
            for zone, (_, tries, failed, took, _) in reports:
                others = [sample[1:] for sample in times[zone, ready[index].kind, frozenset(kinds[index])]
                          if sample[0] != index]
                if tries > failed and took and len(others) >= 2:
                    ratio += (tries - failed) / good * took / quantile(0.5, others)
                    own += (tries - failed) / good * took
            # Against medians: where most servers are bad the cause is common, and moving work would only
            # spread it. Failures with slow answers mean too much work: the server is slow. With quick
            # answers, or with none, it fails of itself.
            part, usual = fails.get(index, 0), near.get(ready[index].zone, 0)
            if part > max(DEAD, 2 * failing) or part > FAILING + 2 * usual and ratio < SLOW / 1.5:
                bad[index] = "failing"
            elif ratio > SLOW and good >= ENOUGH and own > agreed * 0.4:
                bad[index] = "slow"
            elif reports:
                self.health[index].strikes = 0
        for index in sorted(bad, key=lambda i: (bad[i] != "failing", ready[i].raw)):
            self._strike(index, bad[index], ready, busy > BUSY)

    def _strike(self, index, cause, ready, busy):
        health, now = self.health[index], self.host.now()
        health.strikes += 1
        left = [place for place in self.order if place not in health.barred]
        if cause == "slow":
            # It still does work that the others would have to take: it leaves one shard, for a server that
            # is not in it, and none while all are busy.
            most = 0 if busy or len(left) < 2 else 1
            left = [place for place in left if any(
                index in table.members and self._near(table, self._pool(table)).keys() - set(table.members)
                for table in self.tables if table.place == place)][:most]
        if health.strikes < (1 if cause == "failing" or health.trial else 2) or not left:
            return
        again = min(SPELL_MOST, health.spell * 2) if health.trial else SPELL
        health.spell = again if cause == "failing" else SPELL_MOST
        self._bar(index, left, ready, cause)

    def _bar(self, index, places, ready, cause):
        health = self.health[index]
        out = weigh(server for i, server in ready.items() if self.health[i].barred or i == index)
        if out > weigh(ready.values()) * (OUT_SLOW if cause == "slow" else OUT_FAILED):
            return False
        health.barred |= frozenset(places)
        health.out, health.until = cause != "slow", self.host.now() + health.spell
        health.trial, health.strikes = 0, 0
        self.host.log(f"server {index} leaves classes {places}: {cause}")
        return True

    def _try_again(self, health):
        now = self.host.now()
        health.barred, health.out, health.strikes, health.trial = frozenset(), False, 0, now
        health.judge_from = now + self._echo()

    def _turn_valve(self, zone, valve, ready, everything, fails, agreed, fleet_busy):
        now, tried, done = self.host.now(), 0.0, 0.0
        for index in ready:
            for reports in self.health[index].reports.values():
                at, tries, failed, _, span = reports[-1]
                if now - at < 2 * span + self.charter["report_period"]:
                    tried += tries * SECOND / span
                    done += (tries - failed) * SECOND / span
        weight = sum(server.weight * self._ramp(server) for server in ready.values())
        took = [sample[1:] for sample in everything if sample[0] in ready]
        failing = [part for index, part in fails.items() if index in ready]
        if not (weight and tried and failing):
            return
        # Two of five slow answers tell a flood from a few bad servers. No answer at all is the deepest jam.
        busy = quantile(0.6, took) / agreed if took else 2.0
        # Where the fleet is jammed or its valve is turned, that one decides, which knows whose credit is
        # least, unless this zone is far worse off than the rest.
        may_cut = zone is None or self.valves[None].open == 1 or fleet_busy < BUSY and busy > 1.5 * fleet_busy
        calmest = min(other.calmest for other in self.valves.values())
        if valve.turn(now, self._echo(), calmest, busy, median(failing), tried, done, weight, may_cut):
            refuse = 1 - self.valves[None].open
            for place in sorted(self.order, key=lambda k: (self.classes[k]["credit"], k)):
                # What earns the least credit is refused first, but never all of it.
                cut = min(refuse, self.natural[place] * 0.95)
                refuse -= cut
                self.levels[place] = 1 - cut / self.natural[place] if self.natural[place] else 1.0
            self.host.log(f"zone {zone} open {valve.open:.2f} busy {busy:.2f} tried {tried:.0f}")

    # The channel.

    def _charge(self, proxies, lines):
        """Books lines for each of these proxies, and a message's head for each not yet reached."""
        self._drain_account()
        for proxy in proxies:
            self.waiting += lines + (0 if proxy in self.reached else self.charter["head_lines"])
            if proxy not in self.reached:
                self.reached.add(proxy)
                self.proxies[proxy].written.append(self.host.now())

    def _drain_account(self):
        now = self.host.now()
        sent = (now - self.waited_at) * self.charter["lines_per_s"] * self.channel / SECOND
        self.waiting, self.waited_at = max(0.0, self.waiting - sent), now

    def _push(self):
        """Writes what has changed: what the rules need first, then the largest, as the channel allows."""
        now, most, span = self.host.now(), self.charter["messages_most"], self.charter["messages_span"]
        ready, joined = self._ready(), [number for number, proxy in self.proxies.items() if proxy.joined]
        stale, changes = self._stale(ready), []
        for table in self.tables:
            for server in table.lines.keys() | table.want.keys():
                old, new = table.lines.get(server, 0.0), round(table.want.get(server, 0.0), 4)
                if abs(new - old) > 0.1 * max(new, old):
                    cold = server in ready and now - ready[server].started < self.charter["cold_time"]
                    changes.append((server in ready and not (cold and new < old), -abs(new - old),
                                    table.number, server, new, table))
            level = min(table.guard, self._level(table))
            if table.level is None or abs(level - table.level) > 0.03 or (level == 1.0 != table.level):
                changes.append((level >= (table.level or 0), -9e9, table.number, -1, level, table))
        pressing = bool(stale) or any(not change[0] for change in changes)
        gap = max(TURN, span * 2 // most if most else 0)
        if not (stale or changes) or not pressing and now - self.pushed_at < gap:
            return
        self._withdraw(stale, ready, joined)
        limit = self.charter["waiting_most"] * QUEUE_PART
        for ordinary, _, _, server, value, table in sorted(changes, key=lambda change: change[:4]):
            cost = len(table.users) + len(table.users - self.reached) * self.charter["head_lines"]
            room = min(limit, self.charter["lines_per_s"] * LINES_TURN) if ordinary else limit
            if table.users and (self.waiting + cost > room
                                or not self._may_write(table.users, 4 if ordinary else 1)):
                continue
            self._charge(sorted(table.users), 1)
            if server < 0:
                table.level = value
                # One more try only on proof that the first never ran: after any failure it doubles the work
                # of a fleet that is slow already, and for keyed classes it could take effect twice.
                self.host.admit(table.number, [table.place], self._stated(table, value), 1)
            else:
                self.host.line(table.number, server, value)
                table.lines[server] = value
                if not value:
                    del table.lines[server]
        if self.reached:
            self.pushed_at, self.mark_number = now, self.mark_number % 65535 + 1
            self.host.mark(self.mark_number, False)
            self._charge(sorted(self.reached), 1)
            self.marks = {k: mark for k, mark in self.marks.items() if now - mark[0] < 20 * SECOND}
            self.marks[self.mark_number] = now, self.waiting

    def _stale(self, ready):
        return (self.health.keys() - ready.keys() - self.withdrawn) | (self.withdrawn & ready.keys())

    def _withdraw(self, stale, ready, joined):
        for server in sorted(stale):
            if not self._may_write(joined, 1):
                return
            self.host.withdraw(server, server not in ready)
            self.health[server].until = self.host.now()
            # Only those that hold a table with it are written to: those not yet bound may.
            holders = set(self.joining).union(*(t.users for t in self.tables if server in t.lines))
            self._charge(sorted(holders.intersection(joined)), 1)
            self.withdrawn ^= {server}

    def _may_write(self, proxies, spare):
        """Whether so many messages more, beside this one, would stay under what each may be written."""
        most, since = self.charter["messages_most"], self.host.now() - self.charter["messages_span"]
        for proxy in proxies if most else ():
            written = self.proxies[proxy].written
            while written and written[0] < since:
                written.popleft()
            if len(written) + spare >= most and proxy not in self.reached:
                return False
        return True

    def _stated(self, table, level):
        if self.charter["levels"] != "rate":
            return level
        rate = self._rate(table, self._rates()) * level / self._level(table)
        return 1e6 if level >= 1 else max(0.1, rate / max(1, len(table.users)))

    # Sites with slices: each slice's server stays until it drains or goes, then the next in a seeded draw.

    def slice_given(self, table, on):
        self.slices.pop(table, None)
        if on:
            self.slices[table] = set()

    def slice_held(self, table, server, weight):
        if table in self.slices and weight > 0:
            self.slices[table].add(server)

    def slice_demand(self, table, place, exchanges, failed, span):
        pass        # slices are kept where they are; their demand decides nothing yet

    def _settle_slices(self):
        now, ready = self.host.now(), self._ready()
        joined = [proxy for proxy, state in self.proxies.items() if state.joined]
        self._withdraw(self._stale(ready), ready, joined)
        self._drain_account()
        # A single owner hands over only when no write can be on its way to it any more.
        single = self.charter["exclusive"]
        rest = 2 * self.charter["way_longest"] + self.charter["settle_time"] if single else 0
        ranked = sorted(ready.values(), key=lambda server: server.raw)
        for table, held in sorted(self.slices.items()):
            free = not held & ready.keys() and all(now >= self.health[old].until + rest for old in held)
            if free and ranked and self.waiting < self.charter["waiting_most"] * QUEUE_PART:
                chance = Chance(seed_from(str(table), [server.raw for server in ranked]))
                self.slices[table] = {ranked[chance.below(len(ranked))].index}
                for server in ([] if single else sorted(held)) + list(self.slices[table]):
                    self.host.line(table, server, 0.0 if server in held else 1.0)
                self._charge(joined, 2)
