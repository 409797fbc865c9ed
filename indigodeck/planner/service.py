"""The planner as a program: feeds the assigner what happens and carries out what it decides, on Tornado.

Here are the clock, the timers, the list's source, probes and reports of hosts, and the fronts. Decisions are in
choice.py; what waits for whom is in desk.py; which list counts is in roster.py; what hosts' reports mean is in
evidence.py.
"""

import asyncio
import contextlib
import logging
import time

import structlog
from tornado.gen import sleep
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.ioloop import IOLoop, PeriodicCallback
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from ..assignment.assigner import Assigner
from ..assignment.interface import UpdateKind
from ..clock import now
from ..json_documents import InvalidDocumentError
from ..settings import Idempotency
from ..versions.admin_api import AdminApi
from ..versions.model import RequestSerial
from ..versions.replication import VersionReplicator
from . import endpoint_list as lists
from .cached_endpoint_list import CachedEndpointList
from .demand_aggregation import DemandAggregator
from .health_checks import HttpReach
from .health_inference import HealthInference
from .join_admission import JoinAdmission
from .message_quota import MessageQuota
from .pending_updates import Desk, IdRegistry
from .version_source import VersionSource

SECOND = 1_000_000
RELAYS_MOST = 65535  # numbers of relays are small; one that has been met keeps its number
LARGEST_LIST = 16 << 20
STARTS_AHEAD = 1 << 16
RETRY = 5 * SECOND  # until a start is tried to be written down again


class Others:
    """The other controllers, as `versions.replication.VersionReplicator` sees them."""

    def __init__(self, service):
        self.service = service
        self.now, self.later = service.now, service.later

    def send(self, member, kind, **fields):
        self.service.peers.send(member, kind, **fields)

    def others(self):
        return self.service.peers.peer_ids()

    def is_leader(self):
        return self.service.publisher.is_leader


class Service:
    """Everything that one planner runs. `make` hosts another policy on the same desk, for baselines."""

    def __init__(self, settings, make=Assigner, reach=None):
        self.settings, self.log = settings, structlog.get_logger()
        self.clock_gap = time.time_ns() // 1000 - now()
        self.relays, self.servers, self.places = IdRegistry(), IdRegistry(), {}
        self.front_of, self.fronts, self.contact, self.numbers_of, self.hall_of = {}, [], {}, {}, {}
        self.roster = lists.EndpointList(
            self, self.servers, settings.halls, settings.kinds, self.clock_gap
        )
        # The assigner asks for the list as it is made.
        self.desk, self.asking, self.ending = None, False, False
        self.desk = Desk(self, settings.deployment, settings.seed, make)
        reports = settings.reports
        self.changes = []  # servers that the desk has not been told of yet, in the order they came
        self.evidence = HealthInference(
            self.desk,
            settings.deployment,
            reports.get("probes_per_s", 20),
            reports.get("probes_at_once", 16),
        )
        self.sums = DemandAggregator(
            self.desk, reports.get("lines_per_s", 500), settings.deployment.report_period
        )
        self.allowances, self.arrivals = (
            {},
            JoinAdmission(self, settings.deployment.channel.max_waiting_lines),
        )
        # A probe is a real exchange, so one that may be done twice.
        safe = [
            kind.name
            for kind in settings.deployment.classes
            if kind.idempotency == Idempotency.SAFE
        ]
        self.reach = reach or HttpReach(reports, (safe or settings.classes)[0])
        self.patience = min(kind.deadline for kind in settings.deployment.classes)
        self.client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=8, max_body_size=LARGEST_LIST
        )
        self.tasks, self.last_text = [], None
        self.seen = None
        self.peers = None  # the other controllers, where there are any (serve.py)
        self.store = self.publisher = self.admin_api = self.replicator = (
            None  # what outlasts a restart, where it is kept (`keep_books`)
        )
        self.belief = self.kept = None  # a list that was kept, as long as nothing newer has come
        self.keeping, self.from_keeper = False, True

    # What the desk may ask of the program.

    def now(self):
        return now()

    def later(self, after, call):
        IOLoop.current().call_later(after / SECOND, call)

    def due(self, proxy):
        front = self.front_of.get(proxy)
        if front is not None:
            front.due(proxy)

    def probe(self, server):
        IOLoop.current().add_callback(self._probe, server, True)

    def ask_list(self, watch):
        self.ask()

    def note(self, event, **facts):
        self.log.info(event, **facts)

    # Who is in charge. A controller alone always is.

    def ward(self, hall):
        """The ward that a relay in this hall (its place) belongs to."""
        wards = self.peers.election.relay_groups
        return (
            self.settings.halls[hall]
            if self.settings.takeover.get("wards") == "halls"
            else wards[0]
        )

    def epoch(self, hall):
        """The epoch under which orders to a hall's relays may leave now; 0 where controllers share nothing, None while
        another is in charge. Asked as bytes leave.
        """
        return 0 if self.peers is None else self.peers.election.leading_epoch(self.ward(hall))

    def may_serve(self, uid, hall=None):
        """Whether a relay that introduces itself may be told anything from here."""
        place = self.settings.relay(uid)[0] if hall is None else self.settings.halls.index(hall)
        return self.epoch(place) is not None

    def may_write(self, proxy):
        return self.epoch(self.hall_of.get(proxy, 0)) is not None

    def followers(self):
        """[(relay, front, ward)] of all that are spoken to from here."""
        names = {id(front): name for front, name in zip(self.fronts, self.settings.fronts)}
        return [
            (
                str(self.relays.id_of[proxy], "utf-8", "replace"),
                names.get(id(front), ""),
                self.ward(self.hall_of[proxy]),
            )
            for proxy, front in self.front_of.items()
        ]

    def refusals(self, uid):
        """{class: content} that a relay is known to have refused, here or with another controller."""
        return {} if self.peers is None else self.peers.rejections_of(uid)

    def refused(self, uid, name, content):
        if self.peers is not None:
            self.peers.record_rejection(uid, name, content)

    def on_leadership_acquired(self, ward, epoch):
        self.note("in charge", ward=ward, epoch=epoch)
        if self.publisher is not None:
            self.publisher.become_leader(epoch, after_another=True)
            self.desk.changed = True
            self.replicator.request_peer_states()
        for front in self.fronts:
            front.doors(True)

    def on_leadership_lost(self, ward, epoch, why):
        """Nothing more is written: streams end at once, and what waited for them is dropped with them."""
        self.note("out of charge", ward=ward, epoch=epoch, why=why)
        for proxy, front in list(self.front_of.items()):
            if self.ward(self.hall_of[proxy]) == ward:
                front.replaced(proxy)
                self.left(front, proxy)
        if not self.holds_any():
            if self.publisher is not None:
                self.publisher.lose_leadership()
            for front in self.fronts:
                front.doors(False)

    def holds_any(self):
        return self.peers is None or any(
            self.peers.election.leading_epoch(ward) is not None
            for ward in self.peers.election.relay_groups
        )

    # What outlasts a restart.

    def keep_books(self, store, held):
        """`store`: store.writer.StoreWriter; `held`: {key: value} of all that it holds."""
        stated = self.settings.store.get("versions", {})
        self.store = store
        source = VersionSource(
            self,
            self.desk,
            store,
            held,
            self.settings.deployment,
            self.settings.classes,
            stated.get("most", 1000),
            round(stated.get("days", 30) * 86_400 * SECOND),
            self._requests_changed,
        )
        self.publisher = source.publisher
        self.desk.publisher = source.publisher
        self.admin_api = AdminApi(self.publisher, source)
        if self.peers is not None:
            self.replicator = VersionReplicator(Others(self), self.publisher)
        else:
            # One that lost something may have lost its last starts: numbers go on far ahead of any that were given.
            self._count_start(held.get("starts", 0) + (STARTS_AHEAD if store.log.data_lost else 1))

        self.kept = held.get("roster")

    def _keep_list(self):
        """What the list says now, once a second at most."""

        def later():
            self.keeping = False
            if not self.ending:
                self.store.put([("roster", {**self.roster.kept(), "at": self.wall()})])

        if self.store is not None and not self.keeping:
            self.keeping = True
            self.later(SECOND, later)

    # What a belief may ask of the program.

    def wall(self):
        return self.now() + self.clock_gap

    def prove(self, host):
        self._spawn(self._prove, host)

    async def _prove(self, host):
        """An exchange of the planner's own, at a host that no list names yet."""
        outcome, _ = await self.reach.exchange(
            (host["address"], host["port"]), self.patience / SECOND
        )
        (self.belief.proved if outcome in ("ok", "full") else self.belief.disproved)(host["id"])

    def believed(self, hosts, fresh):
        with self._own_word():
            self.roster.believed(self.kept, hosts, fresh)

    @contextlib.contextmanager
    def _own_word(self):
        """What is listed within comes from here, and not from the list's keeper."""
        self.from_keeper = False
        try:
            yield
        finally:
            self.from_keeper = True

    def older(self, hosts):
        """A list that is older than the one that counts."""
        if self.belief is not None:
            self.belief.older(hosts)

    def _count_start(self, nth):
        """Numbers of versions go by starts where nobody grants epochs; none is given before the start is written down."""

        def written(told):
            if told.exception() is None:
                self.publisher.become_leader(nth)
                # A relay may have been served before this was written down: what it holds is published now.
                self.desk.changed = True
            elif not self.ending:
                self.later(RETRY, lambda: self._count_start(nth))

        IOLoop.current().add_future(self.store.put([("starts", nth)]), written)

    def _requests_changed(self, state):
        if self.replicator is not None:
            self.replicator.send_requests(state)

    def on_replication_message(self, member, kind, fields):
        """Another controller's word on versions and wishes."""
        if self.replicator is not None:
            self.replicator.on_message(member, kind, fields)

    async def on_operator_request(self, wish):
        """An operator's word on versions."""
        if wish == {"what": "trust"}:
            return {
                "trust": self.belief.figures()
                if self.belief is not None and not self.belief.over
                else None,
                "list": self.roster.version,
            }
        if self.admin_api is None:
            return {"why_not": "no store is stated in the charter: versions are not kept"}
        answer = self.admin_api.answer(wish)
        if "serial" not in answer or self.replicator is None:
            return answer
        many = self.replicator.controller_count()
        serial = RequestSerial(*answer["serial"])
        for _ in range(40):
            # Called kept once a majority has it: whoever takes over then knows of it.
            if self.replicator.replica_count(serial) > many // 2:
                return answer
            await sleep(0.05)
        return {
            **answer,
            "why_not": f"carried out, but only {self.replicator.replica_count(serial)} of {many} controllers have it: "
            "a takeover now may forget it",
        }

    # What arrivals may ask of the program.

    def queue(self):
        return self.desk.queue()

    def arrival(self):
        return self.desk.arrival()

    def let_in(self, relay):
        if not relay.done():
            relay.set_result(True)

    def turned_away(self, relay):
        relay.set_result(False)

    async def admitted(self):
        """Until one more relay may join; False if too many wait for that."""
        relay = asyncio.get_running_loop().create_future()
        try:
            self.arrivals.came(relay)
            return await relay
        finally:
            self.arrivals.left(relay)

    # What fronts tell.

    def proxy_number(self, uid):
        known = uid in self.relays.index_of
        return self.relays.index(uid) if known or len(self.relays.id_of) < RELAYS_MOST else None

    def allowance(self, who):
        """One account for each relay, kept over its connections for as long as what was written counts."""
        found = self.allowances.get(who)
        if found is None:
            for name in [name for name, held in self.allowances.items() if held.idle(self.now())]:
                del self.allowances[name]
            stated, channel = self.settings.deployment, self.settings.channel
            found = self.allowances[who] = MessageQuota(
                channel["messages_most"],
                stated.channel.message_window,
                channel["answers_most"],
                stated.channel.max_delivery_delay,
            )
        return found

    def joined(self, front, proxy, uid, hall=None):
        older = self.front_of.get(proxy)
        if older is not None:
            # The newest connection under a name speaks for it, over whichever front.
            self._leave(proxy)
            if older is not front:
                older.replaced(proxy)
        self.front_of[proxy] = front
        stated, rate = self.settings.relay(uid)
        hall = stated if hall is None else self.settings.halls.index(hall)
        self.hall_of[proxy] = hall
        self.evidence.joined(proxy)
        self.note("relay joined", relay=uid, hall=self.settings.halls[hall])
        self.desk.proxy_joined(proxy, hall, rate, False)

    def left(self, front, proxy):
        if self.front_of.get(proxy) is front:
            self._leave(proxy)
            self.note("relay left", relay=str(self.relays.id_of[proxy], "utf-8", "replace"))

    def _leave(self, proxy):
        del self.front_of[proxy]
        self.evidence.left(proxy)
        self.sums.left(proxy)
        self.desk.proxy_left(proxy)

    def told(self, proxy, place, span, met, refused, stream):
        """A relay's own report: [(host's id, issued, failed, mean time of good ones)]."""
        known = [
            (self.servers.index_of[name], tries, failed, took)
            for name, tries, failed, took in met
            if name in self.servers.index_of
        ]
        return self.sums.told(
            proxy, self.hall_of.get(proxy, 0), place, span, known, refused, stream
        )

    def host(self, server):
        """(hall, id, address, port) of a server, or None."""
        entry = self.roster.hosts.get(self.servers.id_of[server]) if server in self.places else None
        if entry is not None:
            return entry.get("hall", ""), entry["id"], *self.places[server]
        return (
            ("", self.servers.id_of[server], *self.places[server])
            if server in self.places
            else None
        )

    def server_at(self, where):
        return self.numbers_of.get(where)

    def address(self, server):
        return self.places.get(server)

    def in_contact(self, server):
        """Whether the host has answered of late."""
        return (
            self.now() - self.contact.get(server, -10 * SECOND)
            < 3 * self.settings.deployment.report_period
        )

    def quiesced(self, where, on):
        """A host's own word, which says nothing of the list."""
        with self._own_word():
            found = self.roster.quiesced(*where, on)
        self._keep_list()
        return found

    # What the list's keeper tells.

    def listed(self, kind, servers):
        for host in self.roster.hosts.values():
            number, where = self.servers.index(host["id"]), (host["address"], host["port"])
            if self.places.get(number) != where:
                self.places[number] = where
            # A place may be taken over by a new host; the newest one listed stands for it.
            self.numbers_of[where] = number
        if kind != UpdateKind.CHANGES:
            for server in self.evidence.cases.keys() - {server.index for server in servers}:
                self.evidence.unlisted(server)
        self.evidence.listed(servers)
        states = [server.state for server in servers]
        self.note(
            "listed",
            kind=kind,
            version=self.roster.version,
            **{state: states.count(state) for state in sorted(set(states))},
        )
        if self.from_keeper:
            if self.belief is not None:
                self.belief.listed(self.roster.hosts)
            self._keep_list()
        if kind != UpdateKind.CHANGES:
            # It stands for all that was about to be told.
            self.changes.clear()
            return self._told_of(kind, servers)
        if not self.changes:
            IOLoop.current().add_callback(self._changed)
        # None is left out for a newer one: that it drains must be heard, though it is gone by now.
        self.changes += servers

    def _changed(self):
        """Changes that came in one turn of the loop are one to the assigner: a release at full size brings twenty at a
        time, and each of them alone kept the loop for a quarter of a second before any front could write.
        """
        servers, self.changes = self.changes, []
        if servers:
            self._told_of(UpdateKind.CHANGES, servers)

    def _told_of(self, kind, servers):
        if kind == UpdateKind.CACHED and self.publisher is not None:
            self.publisher.resume_tables()  # who is named in what was published last is known from here on
        self.desk.listed(kind, servers)
        changed = [self.places[server.index] for server in servers if server.index in self.places]
        for front in self.fronts:
            front.standing_of(changed)

    def ask(self):
        if self.settings.roster.get("service") and not self.asking:
            self.asking = True
            IOLoop.current().add_callback(self._ask)

    # Where the list comes from.

    def _look(self):
        """The file, if it has changed."""
        path = self.settings.folder / self.settings.roster["file"]
        try:
            stamp = path.stat()
            stamp = stamp.st_mtime_ns, stamp.st_size, stamp.st_ino
            if stamp == self.seen:
                return
            text = path.read_text()
            self.seen = stamp
            self.roster.whole(lists.read(text))
        except (OSError, UnicodeDecodeError, InvalidDocumentError) as error:
            # The last good list stays; said once for each text that can't be read.
            if str(error) != self.last_text:
                self.last_text = str(error)
                self.log.warning("list not read", why=str(error))

    async def _ask(self):
        try:
            answer = await self.client.fetch(
                self.settings.roster["service"] + "/roster", request_timeout=2
            )
            self.roster.whole(lists.read(answer.body))
            if self.settings.roster.get("asked") and not self.ending:
                # It tells only who asks, so a subscription is a question again and again; after a failure the
                # assigner says when.
                self.later(round(self.settings.roster.get("look_every_ms", 1000) * 1000), self.ask)
        except (OSError, UnicodeDecodeError, InvalidDocumentError, HTTPClientError) as error:
            self.log.warning("list not read", why=str(error))
            self.desk.list_failed()
        finally:
            self.asking = False

    async def _follow(self):
        """Changes as the service pushes them, a line each; begun again, later each time, when that breaks."""
        pause = 0.2
        while not self.ending:
            rest, good = bytearray(), False

            def line_in(chunk):
                nonlocal good
                rest.extend(chunk)
                if len(rest) > LARGEST_LIST:
                    raise InvalidDocumentError(f"roster: a line of over {LARGEST_LIST} bytes")
                *lines, last = bytes(rest).split(b"\n")
                rest[:] = last
                for line in filter(None, lines):
                    good = True
                    document = lists.read(line)
                    (
                        self.roster.changes
                        if document.get("kind") == "changes"
                        else self.roster.whole
                    )(document)

            try:
                await self.client.fetch(
                    HTTPRequest(
                        self.settings.roster["service"] + "/watch",
                        streaming_callback=line_in,
                        request_timeout=0,
                        connect_timeout=2,
                    )
                )
            except (OSError, UnicodeDecodeError, InvalidDocumentError, HTTPClientError) as error:
                self.log.warning("list not followed", why=str(error))
            pause = 0.2 if good else min(5.0, pause * 2)
            await sleep(pause * (0.5 + self.desk.assigner.random.below(1000) / 1000))

    # What hosts answer.

    async def _probe(self, server, asked):
        """One real exchange, sent by the planner itself."""
        where, begun = self.places.get(server), self.now()
        if where is None:
            outcome, report = "unreachable", None
        else:
            outcome, report = await self.reach.exchange(where, self.patience / SECOND)
        now = self.now()
        if outcome in ("ok", "error", "full"):
            self.contact[server] = now
        self._reported(server, report, now)
        if asked:
            self.desk.probed(server, outcome, now - begun, None)
        else:
            self.evidence.tried(server, outcome, now - begun, now)

    async def _load(self, server):
        """The host's report, asked beside its exchanges."""
        where = self.places.get(server)
        if where is None:
            return
        report = await self.reach.report(where, self.settings.deployment.report_period / SECOND)
        if report is not None:
            self._reported(server, report, self.now())
            self.contact[server] = self.now()
        else:
            self.evidence.unanswered(server)

    def _reported(self, server, report, at):
        if report is not None:
            places = {name: place for place, name in enumerate(self.settings.classes)}
            by_class = {
                places[name]: rate for name, rate in report.by_class.items() if name in places
            }
            self.evidence.reported(server, report._replace(by_class=by_class), at)

    # Its life.

    def _period(self):
        heard = self.sums.turn(lambda server: server in self.evidence.cases, self.evidence.took)
        self.evidence.turn(heard, self.sums.tells)
        servers = sorted(self.evidence.cases)
        period = self.settings.deployment.report_period / SECOND
        for nth, server in enumerate(servers):
            # Spread over half of the period, so that answers don't all come at once.
            IOLoop.current().call_later(
                period * nth / (2 * len(servers)), self._spawn, self._load, server
            )

    def _try(self):
        for server in self.evidence.due(self.now()):
            self._spawn(self._probe, server, False)

    @staticmethod
    def _spawn(call, *given):
        IOLoop.current().add_callback(call, *given)

    def start(self):
        if self.kept is not None:
            stated = self.settings.reports
            self.roster.floor = self.kept["version"], self.kept["epoch"]
            self.belief = CachedEndpointList(
                self,
                self.kept,
                bool(stated.get("probes_per_s", 20) and stated.get("probes_at_once", 16)),
            )
        if "file" in self.settings.roster:
            self._look()
            self.tasks.append(
                PeriodicCallback(self._look, self.settings.roster.get("look_every_ms", 200))
            )
        elif self.settings.roster.get("asked"):
            self.ask()
        else:
            IOLoop.current().add_callback(self._follow)
        self.tasks.append(
            PeriodicCallback(self._period, self.settings.deployment.report_period / 1000)
        )
        if self.evidence.rate and self.evidence.at_once:
            self.tasks.append(PeriodicCallback(self._try, 50))
        for task in self.tasks:
            task.start()

    def open(self, front, name, port, address):
        """Opens a front's sockets; one line says where."""
        front.listen(port, address)
        self.fronts.append(front)
        self.log.info("listening", front=name, port=front.port())
        if not self.holds_any():
            front.doors(False)
        return front.port()

    def cease(self):
        self.ending = True
        # What is cut off in the middle now is cut off on purpose: no library needs to tell of it.
        logging.getLogger("tornado").disabled = logging.getLogger(
            "tornado.application"
        ).disabled = True
        for task in self.tasks:
            task.stop()
        if self.peers is not None:
            self.peers.close()
        if self.store is not None:
            self.store.close()
        for front in self.fronts:
            front.cease()
        self.client.close()
        self.reach.close()
