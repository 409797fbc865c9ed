"""Decides which servers serve which class of exchanges, by shuffle sharding (see docs/design.md).

Make one `Assigner` for each instance with a host (the Protocol `Host` in host.py), the charter (a plain
map of what the deployment states at start) and a seed. Then call the method named for what has happened,
`listed` for the list of servers, `proxy_joined` for a proxy, `heard` and `demand` for reports, and so on;
it acts by calling the host. Times are whole microseconds, ids small indices.
"""
from collections import defaultdict, deque
from statistics import median

from .host import CHANGES, CACHED, DRAINING, READY

SECOND = 1_000_000
TURN = SECOND // 4          # between two looks at reports, shards and the channel
# Shards (design page; starting values of its own).
SHARE_TARGET = 2.0          # a shard's share of listed weight, over its class's share of demand
LEAST_SERVERS = 4
OVERLAP_MOST = 0.5
DRAWS = 5
RESIZE_EVERY, RESIZE_BY = 10 * SECOND, 0.08
RAMP_FROM, RAMP_STEPS = 0.25, 3      # a newcomer's first weight; doublings spread over the cold time
# Guards.
TIP_MARGIN = 0.7            # part of what a cold server may be sent that is planned for
SLOW, FAILING, DEAD, ENOUGH = 2.2, 0.25, 0.85, 8
OUT_SLOW, OUT_FAILED = 0.2, 0.5     # share of listed weight that may be out for either cause
SPELL, SPELL_MOST = 8 * SECOND, 40 * SECOND
BUSY, CALM, ABLE_PART = 0.5, 0.4, 0.9
LINES_TURN, QUEUE_PART = 0.25, 0.45  # seconds of the channel an ordinary push may take; part of its limit


class Chance:
    """A linear congruential generator; its low bits have short periods, so the high ones are used."""

    def __init__(self, seed):
        self.state = seed & (1 << 64) - 1

    def below(self, bound):
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (1 << 64) - 1
        return (self.state >> 32) * bound >> 32


def seed_from(name, raws):
    """The same for every instance and every start: Python's own hash differs between processes."""
    mixed = 14695981039346656037
    for byte in name.encode() + b"".join(raws):
        mixed = ((mixed ^ byte) * 1099511628211) & (1 << 64) - 1
    return mixed


class Table:
    """One class's table (own-zone classes: one for each zone) and what its proxies hold of it."""

    def __init__(self, number, place, zone):
        self.number, self.place, self.zone = number, place, zone
        self.members, self.want, self.lines, self.users = [], {}, {}, set()
        self.drawn, self.level, self.tries, self.guard = False, 1.0, None, 1.0


class Proxy:
    def __init__(self, zone, rate):
        self.zone, self.rate, self.joined = zone, rate, True
        self.left_at, self.written, self.demand = 0, deque(), {}


class Health:
    """What is known against a server: reports, strikes, the classes it is barred from and until when."""

    def __init__(self):
        self.reports, self.strikes, self.barred, self.crowd = {}, 0, frozenset(), 0.0
        self.until, self.spell, self.trial, self.judge_from, self.probing = 0, SPELL, 0, 0, False


class Assigner:
    def __init__(self, host, charter, seed):
        self.host, self.charter, self.chance = host, charter, Chance(seed)
        self.classes, zones = charter["classes"], charter["zones"]
        self.order = sorted(range(len(self.classes)), key=lambda k: self.classes[k]["name"])
        self.tables = []
        if not charter["slices"]:
            for place in self.order:
                own = self.classes[place]["own_zone"]
                self.tables += [Table(place * (zones + 1) + (0 if zone is None else zone + 1), place, zone)
                                for zone in (range(zones) if own else [None])]
        self.fleet, self.health, self.proxies = {}, defaultdict(Health), {}
        self.withdrawn, self.shares, self.natural, self.shared_at = set(), {}, {}, -RESIZE_EVERY
        self.waiting, self.waited_at, self.channel = 0.0, host.now(), 1.0
        self.marks, self.mark_number, self.pushed_at = {}, 0, 0
        self.paces, self.heard_at, self.reviewed_at = deque(maxlen=32), 0, 0
        self.failed, self.cut, self.offered = 0.0, False, 1.0
        self.shed, self.target, self.ordered_at, self.asked_at, self.patience = 1.0, 0.0, 0, 0, SECOND
        self.subscribed, self.slices, self.slice_due = False, {}, set()
        if charter["list_asked"]:
            self._ask()
        host.wake(TURN, 0)

    # The list of servers.

    def _ask(self):
        self.asked_at = self.host.now()
        self.host.watch(True)

    def list_failed(self):
        # The call or the subscription failed, which is not told: ask again, later each time, so that
        # many instances do not keep a slow list service down.
        self.subscribed = False
        self.patience = min(self.patience * 2, 8 * SECOND)
        self.host.wake(self.patience // 2 + self.chance.below(self.patience), 1)

    def listed(self, kind, servers):
        now = self.host.now()
        if kind != CACHED:
            self.subscribed, self.patience = True, SECOND
        if kind != CHANGES:
            for index in self.fleet.keys() - {server.index for server in servers}:
                del self.fleet[index]
        for server in servers:
            before = self.fleet.get(server.index)
            if server.state != READY and server.state != DRAINING:
                self.fleet.pop(server.index, None)
                continue
            if not 0 < server.weight < 1e9:
                server = server._replace(weight=1.0)
            self.fleet[server.index] = server
            if before is None or before.started != server.started:
                # A new process: what was held against the old one says nothing of it.
                self.health[server.index] = Health()
                self.health[server.index].judge_from = now + self._echo()
        ready = {index for index, server in self.fleet.items() if server.state == READY}
        for index in sorted((self.withdrawn & ready) | (self.known() - ready - self.withdrawn)):
            self.host.withdraw(index, index not in ready)
            self._charge_everyone()
        self.withdrawn = (self.withdrawn | self.known()) - ready
        if self.charter["slices"]:
            return self._settle_slices()
        self._plan()
        self._push(urgent=True)

    def known(self):
        """Servers that proxies may hold lines for: in a table, or in the list once."""
        return self.health.keys() | set().union(*(table.lines for table in self.tables))

    # Proxies.

    def proxy_joined(self, proxy, zone, rate, fresh):
        now = self.host.now()
        held = self.proxies.get(proxy)
        self.proxies[proxy] = joined = Proxy(zone, rate if 0 < rate < 1e9 else 1.0)
        if held:
            joined.demand = held.demand
        if self.charter["slices"]:
            return
        if not any(table.lines for table in self.tables):
            self._plan()
            self._push(urgent=True)
        # At once, whatever the channel's account says: until it is bound it follows old tables.
        cost = self.charter["head_lines"]
        for table in self.tables:
            if table.zone is None or table.zone == zone:
                table.users.add(proxy)
                self.host.bind(proxy, table.number, [table.place])
                cost += 3 + len(table.lines) + len(self.withdrawn)
        self._charge(cost)
        joined.written.append(now)

    def proxy_left(self, proxy):
        if proxy in self.proxies:
            self.proxies[proxy].joined, self.proxies[proxy].left_at = False, self.host.now()
        for table in self.tables:
            table.users.discard(proxy)

    # Reports.

    def heard(self, zone, server, tries, failed, took, span, load):
        now = self.host.now()
        self.heard_at = now
        if tries and span:
            kept = self.health[server].reports.setdefault(zone, deque(maxlen=4))
            kept.append((now, tries, min(failed, tries), took, span))
        if load and load.get("in_hand", 0) >= 0:
            self.health[server].crowd = load.get("in_hand", 0)

    def demand(self, proxy, place, exchanges, failed, span):
        if proxy in self.proxies and span:
            kept = self.proxies[proxy].demand.setdefault(place, deque(maxlen=3))
            kept.append((exchanges, failed, span))

    def applied(self, proxy, number, took):
        # The first answer to a mark shows how fast the channel really is; the others add proxies' own stalls.
        if number in self.marks:
            sent, ahead = self.marks.pop(number)
            promised = ahead / self.charter["lines_per_s"] * SECOND + self.charter["way_longest"]
            self.channel = max(0.2, min(1.0, promised / max(took, 1)))

    def probed(self, server, outcome, took, load):
        health = self.health[server]
        health.probing = False
        if health.barred:
            if outcome == "ok":
                self._try_again(server)
            else:
                health.until = self.host.now() + SPELL // 2

    def told(self, peer, data):
        pass        # planners share nothing that these decisions need

    def woken(self, token):
        if token == 1:
            if not self.subscribed:
                self._ask()
            return
        now = self.host.now()
        self.host.wake(TURN, 0)
        if self.charter["list_asked"] and not self.subscribed and now - self.asked_at > 20 * SECOND:
            self._ask()
        if self.charter["slices"]:
            return self._settle_slices()
        period = self.charter["report_period"]
        if self.heard_at > self.reviewed_at and now - self.reviewed_at >= period // 2:
            self.reviewed_at = now
            self._review()
        self._return_servers()
        self._plan()
        self._push(urgent=False)

    # Demand and load.

    def _echo(self):
        """How long after an order reports can reflect it: its way out, and one whole period after."""
        return self.charter["way_longest"] + 2 * self.charter["report_period"]

    def _rates(self):
        """Exchanges a second by class and zone of the proxies, those lately out of reach among them."""
        now, rates = self.host.now(), defaultdict(float)
        for proxy in self.proxies.values():
            if not proxy.joined and now - proxy.left_at > 20 * SECOND:
                continue
            for place in self.order:
                samples = proxy.demand.get(place)
                if samples:
                    rate = sum(sample[0] for sample in samples) * SECOND / sum(s[2] for s in samples)
                elif proxy.demand:
                    rate = 0.0
                else:
                    rate = proxy.rate / len(self.order)
                rates[place, proxy.zone] += rate
        return rates

    def _resize(self, rates):
        now, total = self.host.now(), sum(rates.values())
        if self.shed == 1:                  # else repeats of refused ones would count as demand
            even = {place: 1 / len(self.order) for place in self.order}
            heard = any(proxy.demand for proxy in self.proxies.values())
            self.natural = even if not heard or not total else {
                place: sum(rate for (k, _), rate in rates.items() if k == place) / total for place in self.order}
        # Shards are sized by what is let in: a class that is refused leaves its servers to the others.
        admitted = {place: self.natural[place] * self._level(place) for place in self.order}
        fresh = {place: part / sum(admitted.values()) for place, part in admitted.items()}
        moved = max(abs(fresh[place] - self.shares.get(place, 0)) for place in self.order)
        if moved > RESIZE_BY and (now - self.shared_at > RESIZE_EVERY or self.shed < 1):
            self.shares, self.shared_at = fresh, now

    # Shards.

    def _pool(self, table):
        ready = [server for server in self.fleet.values()
                 if server.state == READY and table.zone in (None, server.zone)]
        fit = [server for server in ready if table.place not in self.health[server.index].barred]
        # With most barred, doubtful servers beat too few: those left would be next.
        if 2 * sum(server.weight for server in fit) < sum(server.weight for server in ready):
            fit = ready
        return {server.index: server for server in fit}

    def _planned(self, rates, besides=None):
        """Load planned for each server by the shards drawn so far, by listed weight."""
        loads = defaultdict(float)
        for table in self.tables:
            weight = sum(self.fleet[m].weight for m in table.members if m in self.fleet)
            if table is besides or not weight:
                continue
            for member in table.members:
                if member in self.fleet:
                    loads[member] += self._rate(table, rates) * self.fleet[member].weight / weight
        return loads

    def _rate(self, table, rates):
        return sum(rate for (place, zone), rate in rates.items()
                   if place == table.place and table.zone in (None, zone))

    def _draw(self, table, pool, need, rates):
        """A shard drawn at random, each server the less loaded of two, capped in its overlap with others."""
        loads, best = self._planned(rates, table), None
        ranked = sorted(pool.values(), key=lambda server: server.raw)
        chance = Chance(seed_from(self.classes[table.place]["name"], [server.raw for server in ranked]))
        for _ in range(DRAWS):
            left, shard, weight = list(ranked), [], 0.0
            while left and (weight < need or len(shard) < LEAST_SERVERS):
                server = self._pick(left, loads, chance)
                left.remove(server)
                shard.append(server.index)
                weight += server.weight
            overlap = max((len(set(shard) & set(other.members)) / len(shard) for other in self.tables
                           if other is not table and other.members and shard), default=0)
            peak = max((loads[index] / pool[index].weight for index in shard), default=0)
            if best is None or (overlap, peak) < best[0]:
                best = (overlap, peak), shard
            if overlap <= OVERLAP_MOST:
                break
        return best[1]

    @staticmethod
    def _pick(left, loads, chance):
        one, other = left[chance.below(len(left))], left[chance.below(len(left))]
        return min(one, other, key=lambda server: (loads[server.index] / server.weight, server.raw))

    def _shards(self, rates):
        now = self.host.now()
        whole = sum(server.weight for server in self.fleet.values() if server.state == READY)
        total = sum(rates.values())
        for table in self.tables:
            pool = self._pool(table)
            here = sum(server.weight for server in pool.values())
            part = self.shares[table.place]
            if table.zone is not None and total and here:
                part *= self._rate(table, rates) / max(1e-9, sum(
                    rate for (place, _), rate in rates.items() if place == table.place)) * whole / here
            need = min(1.0, SHARE_TARGET * part) * here
            if not table.drawn and pool:
                table.members, table.drawn = self._draw(table, pool, need, rates), True
                table.resized_at = now
                continue
            table.members = [member for member in table.members if member in pool]
            weight = sum(pool[member].weight for member in table.members)
            mean = here / max(1, len(pool))
            left = sorted((server for server in pool.values() if server.index not in table.members),
                          key=lambda server: server.raw)
            while left and (weight < need - mean / 2 or len(table.members) < LEAST_SERVERS):
                # One for one, warm ones first: replacements that arrive cold together protect nothing.
                warm = [server for server in left if now - server.started >= self.charter["cold_time"]]
                name = self.classes[table.place]["name"]
                chance = Chance(seed_from(name, [server.raw for server in left]))
                server = self._pick(warm or left, self._planned(rates), chance)
                left.remove(server)
                table.members.append(server.index)
                weight += server.weight
            if len(table.members) > LEAST_SERVERS and now - table.resized_at > RESIZE_EVERY // 4:
                loads = self._planned(rates)
                hot = max(table.members, key=lambda m: (loads[m] / pool[m].weight, pool[m].raw))
                if weight - pool[hot].weight > need + mean / 2 and self._covered(hot, table):
                    table.members.remove(hot)
                    table.resized_at = now
        self._cover(rates)

    def _covered(self, server, besides):
        return any(server in table.members for table in self.tables if table is not besides)

    def _cover(self, rates):
        for server in sorted(self.fleet.values(), key=lambda server: server.raw):
            open_to = [table for table in self.tables if server.index in self._pool(table)]
            if open_to and not any(server.index in table.members for table in self.tables):
                hungry = max(open_to, key=lambda table: self._rate(table, rates) / max(
                    1e-9, sum(self.fleet[m].weight for m in table.members)))
                hungry.members.append(server.index)

    # Weights: as listed, but for the ramp and the guard over cold servers.

    def _ramp(self, server, now):
        born = max(server.started, self.health[server.index].trial)
        step = self.charter["cold_time"] // RAMP_STEPS
        return min(1.0, RAMP_FROM * 2 ** ((now - born) // step)) if born and now >= born else 1.0

    def _pace(self):
        """What a warm server does at least, in exchanges a second and unit of listed weight."""
        weight = sum(server.weight for server in self.fleet.values() if server.state == READY)
        if self.paces:
            return max(self.paces)
        return sum(proxy.rate for proxy in self.proxies.values()) / max(weight, 1e-9)

    def _plan(self):
        now, rates = self.host.now(), self._rates()
        self._resize(rates)
        self._shards(rates)
        cold_time, share = self.charter["cold_time"], self.charter["cold_share"]
        pace = self._pace() * self.charter["tip_multiple"] * TIP_MARGIN / self.charter["instances"]
        budgets = {}
        for server in self.fleet.values():
            age = now - server.started
            if server.started and age < cold_time:
                warmth = share + (1 - share) * max(0, age) / cold_time
                budgets[server.index] = server.weight * pace * warmth
        for table in self.tables:
            table.want = {m: self.fleet[m].weight * self._ramp(self.fleet[m], now) for m in table.members}
        # Ramps are relative: where most of a shard is cold they protect nothing. Load over all classes is
        # bounded on each cold server; what warm ones can't take is kept out by the tables' levels.
        for _ in range(6):
            loads = self._loads(rates)
            over = {s: budget / loads[s] for s, budget in budgets.items() if loads[s] > budget * 1.02}
            for table in self.tables:
                table.want = {m: w * over.get(m, 1.0) for m, w in table.want.items()}
        loads = self._loads(rates)
        for table in self.tables:
            table.guard = min([1.0] + [budgets[m] / loads[m] for m in table.want
                                       if m in budgets and loads[m] > budgets[m] * 1.1])

    def _loads(self, rates):
        loads = defaultdict(float)
        for table in self.tables:
            weight, rate = sum(table.want.values()), self._rate(table, rates) * self._level(table.place)
            for member, part in table.want.items():
                loads[member] += rate * part / weight
        return loads

    # Levels and further tries.

    def _level(self, place):
        """The part of a class let in: what earns the least credit is refused first."""
        return self.shed_by_class.get(place, 1.0) if self.shed < 1 else 1.0

    def _spread_shed(self):
        refuse, self.shed_by_class = 1 - self.shed, {}
        for place in sorted(self.order, key=lambda k: (self.classes[k]["credit"], k)):
            part = self.natural[place]
            cut = min(refuse, part * 0.95)
            refuse -= cut
            self.shed_by_class[place] = 1 - cut / part if part else 1.0

    def _safe_tries(self, place):
        # After any failure only where a repeat cannot take effect twice; a keyed one that only some servers
        # drop, or for a while, waits for proof that the first never ran.
        kind = self.classes[place]
        return 2 if kind["repeats"] == "safe" and self.tries_wide else 1

    tries_wide = False
    shed_by_class = {}

    # Health.

    def _recent(self, server, since):
        return [(zone, report) for zone, reports in sorted(self.health[server].reports.items())
                for report in reports if report[0] > since]

    def _review(self):
        now, agreed = self.host.now(), min(kind["agreed_time"] for kind in self.classes)
        since = now - self.charter["report_period"] * 5 // 4
        ready = {index: server for index, server in self.fleet.items() if server.state == READY}
        recent = {index: self._recent(index, max(since, self.health[index].judge_from)) for index in ready}
        times, fails = defaultdict(list), {}
        for index, reports in recent.items():
            for zone, (_, tries, failed, took, _) in reports:
                if tries > failed and took:
                    times[zone, ready[index].kind].append((index, took))
            tries, failed = (sum(report[k] for _, report in reports) for k in (1, 2))
            if tries >= ENOUGH:
                fails[index] = failed / tries if failed > ENOUGH // 2 else 0.0
        everything = [took for pairs in times.values() for _, took in pairs]
        busy = median(everything) / agreed if everything else 0.0
        failing = median(fails.values()) if fails else 0.0
        crowded = median(self.health[i].crowd / server.weight for i, server in ready.items()) if ready else 0
        self._review_levels(busy, failing, now)
        bad = {}
        for index, reports in recent.items():
            good = sum(report[1] - report[2] for _, report in reports)
            ratio = own = 0.0
            for zone, (_, tries, failed, took, _) in reports:
                others = [t for other, t in times[zone, ready[index].kind] if other != index]
                if tries > failed and took and len(others) >= 2:
                    ratio += (tries - failed) / good * took / median(others)
                    own += (tries - failed) / good * took
            crowd = self.health[index].crowd / ready[index].weight > 2 * crowded > 0
            # Refusals with slow answers mean too much work: the server is slow. With quick answers, or with
            # none, it fails of itself.
            if fails.get(index, 0) > max(DEAD, 2 * failing) or (
                    fails.get(index, 0) > FAILING + 2 * failing and ratio < SLOW / 1.5 and not crowd):
                bad[index] = "failing"
            elif ratio > SLOW and good >= ENOUGH and own > agreed * 0.4:
                bad[index] = "slow"
            elif reports:
                self.health[index].strikes = 0
        # Most of them bad at once is no server's own fault: moving work about would only spread it.
        if len(bad) * 2 <= len(ready):
            for index in sorted(bad, key=lambda i: (bad[i] != "failing", ready[i].raw)):
                self._strike(index, bad[index], ready, now, busy > BUSY)

    def _strike(self, index, cause, ready, now, busy):
        health = self.health[index]
        health.strikes += 1
        left = [place for place in self.order if place not in health.barred]
        if health.strikes < (1 if cause == "failing" or health.trial else 2) or not left:
            return
        # A slow server still does work that the others would have to take: it leaves one shard, for a server
        # that is not in it, and none while all are busy.
        leaves = left if cause == "failing" else [
            table.place for table in self.tables if table.place in left and index in table.members
            and self._pool(table).keys() - set(table.members)][:1]
        if not leaves or cause == "slow" and (busy or len(left) == 1):
            return
        whole = sum(server.weight for server in ready.values())
        out = sum(server.weight for i, server in ready.items() if self.health[i].barred and i != index)
        if out + ready[index].weight > whole * (OUT_FAILED if cause == "failing" else OUT_SLOW):
            return
        health.barred |= frozenset(leaves)
        health.spell = min(SPELL_MOST, health.spell * 2) if health.trial else SPELL
        if cause == "slow":
            health.spell = SPELL_MOST
        health.until, health.trial, health.strikes = now + health.spell, 0, 0
        self.host.log(f"server {index} leaves {leaves}: {cause}")

    def _return_servers(self):
        now = self.host.now()
        for index, health in self.health.items():
            if health.barred and now >= health.until and not health.probing and index in self.fleet:
                if self.charter["probes"]:
                    health.probing = True
                    self.host.probe(index)
                else:
                    self._try_again(index)

    def _try_again(self, index):
        health, now = self.health[index], self.host.now()
        health.barred, health.trial, health.judge_from = frozenset(), now, now + self._echo()
        health.strikes = 0

    def _flow(self):
        """Tries and completed exchanges a second over all servers, each from its newest reports."""
        now, tried, done = self.host.now(), 0.0, 0.0
        for health in self.health.values():
            for reports in health.reports.values():
                at, tries, failed, _, span = reports[-1]
                if now - at < 2 * span + self.charter["report_period"]:
                    tried += tries * SECOND / span
                    done += (tries - failed) * SECOND / span
        return tried, done

    def _review_levels(self, busy, failing, now):
        weight = sum(server.weight * self._ramp(server, now) for server in self.fleet.values()
                     if server.state == READY)
        tried, done = self._flow()
        if not (weight and done):
            return
        self.paces.append(done / weight)
        if self.shed == 1:
            self.offered = max(tried, sum(self._rates().values()))
        # What the fleet has shown that it can complete: in a jam it does less, for work done for clients that
        # have given up counts for nothing, and levels cut to that would never find the way out.
        able = sorted(self.paces)[-min(3, len(self.paces))] * weight
        before, settled = self.shed, now >= self.ordered_at + self._echo()
        if busy + 4 * min(failing, 0.1) > BUSY and (settled or failing > self.failed + 0.15):
            # Below that by the part that fails, to let the queues drain before clients' repeats fill them.
            self.target, self.failed = (ABLE_PART - min(0.5, failing)) * able, failing
            part = max(self.shed * self.target / tried, 0.6 * self.target / self.offered)
            self.shed, self.cut = max(0.1, min(self.shed, part)), True
        elif self.shed < 1 and busy < CALM and (settled or self.cut):
            self.target, self.failed, self.cut = max(self.target * 1.06, ABLE_PART * able), 0.0, False
            part = min(self.shed * self.target / tried, max(self.shed, self.target / self.offered))
            self.shed = min(1.0, max(self.shed * 1.06, part))
        if self.shed != before:
            self.ordered_at = now
            self._spread_shed()
            self.host.log(f"level {self.shed:.2f} busy {busy:.2f} tried {tried:.0f} done {done:.0f} able {able:.0f}")

    # The channel.

    def _charge(self, lines):
        self._drain_account()
        self.waiting += lines

    def _charge_everyone(self):
        joined = [proxy for proxy in self.proxies.values() if proxy.joined]
        self._charge(len(joined) * (1 + self.charter["head_lines"]))

    def _drain_account(self):
        now = self.host.now()
        sent = (now - self.waited_at) * self.charter["lines_per_s"] * self.channel / SECOND
        self.waiting, self.waited_at = max(0.0, self.waiting - sent), now

    def _push(self, urgent):
        """Writes changed lines: what the rules need first, then the largest changes, as the channel allows."""
        now, most, span = self.host.now(), self.charter["messages_most"], self.charter["messages_span"]
        gap = max(TURN, span * 2 // most if most else 0)
        if not urgent and now - self.pushed_at < gap:
            return
        changes = []
        for table in self.tables:
            for server in sorted(table.lines.keys() | table.want.keys()):
                old, new = table.lines.get(server, 0.0), round(table.want.get(server, 0.0), 4)
                if abs(new - old) > 0.04 * max(new, old):
                    gone = server not in self.fleet or self.fleet[server].state != READY
                    cold = server in self.fleet and old > new and now - self.fleet[server].started < \
                        self.charter["cold_time"]
                    changes.append((not (gone or cold), -abs(new - old), table.number, server, new, table))
            level = min(table.guard, self._level(table.place))
            tries = self._safe_tries(table.place)
            if table.tries != tries or abs(level - table.level) > 0.03 or (level == 1.0 != table.level):
                changes.append((level >= table.level, -9e9, table.number, -1, level, table))
        if not changes:
            return
        reached, full = set(), 0
        for proxy in self.proxies.values():
            while proxy.written and now - proxy.written[0] > span:
                proxy.written.popleft()
            full = max(full, len(proxy.written) if proxy.joined else 0)
        self._drain_account()
        room = self.charter["waiting_most"] * QUEUE_PART - self.waiting
        if not urgent:
            room = min(room, self.charter["lines_per_s"] * LINES_TURN - self.waiting)
        for ordinary, _, _, server, value, table in sorted(changes, key=lambda change: change[:4]):
            fresh = table.users - reached
            cost = len(table.users) + len(fresh) * self.charter["head_lines"]
            if table.users and (cost > room or most and full >= most - (4 if ordinary else 1)):
                continue
            room -= cost
            self._charge(cost)
            reached |= table.users
            if server < 0:
                table.level, table.tries = value, self._safe_tries(table.place)
                self.host.admit(table.number, [table.place], self._wire_level(table, value), table.tries)
            else:
                self.host.line(table.number, server, value)
                table.lines[server] = value
                if not value:
                    del table.lines[server]
        if reached:
            self.pushed_at = now
            self.mark_number = self.mark_number % 65535 + 1
            self.marks = {k: mark for k, mark in self.marks.items() if now - mark[0] < 20 * SECOND}
            self.host.mark(self.mark_number, False)
            self._charge(len(reached))
            self.marks[self.mark_number] = now, self.waiting
            for proxy in reached:
                self.proxies[proxy].written.append(now)

    def _wire_level(self, table, level):
        if self.charter["levels"] != "rate":
            return level
        if level >= 1:
            return 1e6
        rates = self._rates()
        return max(0.1, level * self._rate(table, rates) / max(1, len(table.users)))

    # Sites with slices: each slice's server stays until it drains or goes, then the next in a seeded draw.

    def slice_given(self, table, on):
        if on:
            self.slices[table] = {}
            self.slice_due.add(table)
        else:
            self.slices.pop(table, None)

    def slice_held(self, table, server, weight):
        if table in self.slices and weight > 0:
            self.slices[table][server] = weight

    def slice_demand(self, table, place, exchanges, failed, span):
        pass        # slices are kept where they are; their demand decides nothing yet

    def _settle_slices(self):
        ready = sorted((server for server in self.fleet.values() if server.state == READY),
                       key=lambda server: server.raw)
        for table, held in sorted(self.slices.items()):
            kept = [server for server in held if server in self.fleet and self.fleet[server].state == READY]
            if not kept and ready and self.waiting < self.charter["waiting_most"] * QUEUE_PART:
                chance = Chance(seed_from(str(table), [server.raw for server in ready]))
                server = ready[chance.below(len(ready))].index
                for old in [] if self.charter["exclusive"] else held:
                    self.host.line(table, old, 0.0)
                self.host.line(table, server, 1.0)
                self.slices[table] = {server: 1.0}
                self._charge_everyone()
            else:
                self._drain_account()
