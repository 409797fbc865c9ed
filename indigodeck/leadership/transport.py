"""The sockets between controllers, on Tornado's streams: each dials each, says one message at a time, hears all."""

from collections import deque

from tornado.gen import sleep, with_timeout
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError
from tornado.locks import Event
from tornado.netutil import bind_sockets
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer
from tornado.util import TimeoutError as DeadlineExceededError

from . import messages
from .election import CALLS, LeaderElection, heard
from .operator_server import OPERATOR, next_message
from .rejections import RejectionRegistry

SECOND = 1_000_000
WAITING_MOST = 64  # messages for one member; the oldest goes first, for each is asked again

NAMES_MOST = 200  # of relays in one answer


class Peer:
    """The way to one other member."""

    def __init__(self, place, newest):
        self.place, self.waiting, self.wanted = place, deque(maxlen=WAITING_MOST), Event()
        self.speech, self.over = messages.Speech(newest), False


class Peers(TCPServer):
    """A member's surroundings on sockets. `service`: `now()`, `silent()`, `note(event, ..)`, `in_charge(ward, epoch)`,
    `out_of_charge(ward, epoch, why)`, `await followers()`: [(relay, front, ward)], `copy_came(member, kind, fields)`,
    `await asked(wish)` (apart.py); `places`: {member: "ADDRESS:PORT"} as the
    charter says; `newest`: the version of messages not to go beyond.
    """

    def __init__(
        self,
        service,
        me,
        places,
        wards,
        lease,
        drift,
        key,
        file,
        refused,
        chance,
        life,
        newest,
        joins,
    ):
        super().__init__(max_buffer_size=4 * messages.LONGEST)
        self.service, self.me, self.key, self.file, self.refused_file = (
            service,
            me,
            key,
            file,
            refused,
        )
        self.stated, self.newest, self.peers, self.ending = dict(places), newest, {}, False
        self.refusals = RejectionRegistry(self, refused.read() or ())
        record = file.read()
        self._peers_are(record.fleet[1] if record and record.fleet else {})
        self.charge = LeaderElection(
            self, me, places, wards, lease, drift, chance, life, record, joins
        )
        address, port = place_of(places[me])
        self.add_sockets(bind_sockets(port, address))

    def _peers_are(self, members):
        """All that may speak here: who the charter names, and who was let in since. Who was taken out and is named by no
        charter is heard no more.
        """
        places = {**members, **self.stated}
        for name in [name for name in self.peers if name not in places]:
            self.peers.pop(name).over = True
        for name, place in places.items():
            if name != self.me and name not in self.peers:
                peer = self.peers[name] = Peer(place_of(place), self.newest)
                IOLoop.current().add_callback(self._speak, peer)

    # What the charge may ask.

    def now(self):
        return self.service.now()

    def silent(self):
        return self.service.silent()

    def later(self, after, call=None):
        IOLoop.current().call_later(after / SECOND, call or self._wake)

    def _wake(self):
        if not self.ending:
            self.charge.woken()

    def send(self, member, kind, **fields):
        peer = self.peers.get(member)
        if peer is not None and messages.sayable(kind, peer.speech.version, fields):
            peer.waiting.append(
                (self.now(), messages.pack(self.key, self.me, kind, peer.speech.version, **fields))
            )
            peer.wanted.set()

    def keep(self, record):
        return self.file.keep(record)

    def in_charge(self, ward, epoch):
        self.service.in_charge(ward, epoch)

    def out_of_charge(self, ward, epoch, why):
        self.service.out_of_charge(ward, epoch, why)

    def members_changed(self, number, members):
        self._peers_are(members)

    def note(self, text):
        self.service.note(text)

    # What the memory of refusals may ask.

    def keep_refused(self, entries):
        return self.refused_file.keep(entries)

    def tell_refused(self, entries):
        for name in self.peers:
            self.send(name, "refusals", held=[list(entry) for entry in entries])

    # The sockets.

    async def _speak(self, peer):
        pause = 0.05
        while not (self.ending or peer.over):
            stream = None
            try:
                stream = await TCPClient().connect(*peer.place, timeout=1)
                stream.set_nodelay(True)
                pause = 0.05
                while not (self.ending or peer.over):
                    await peer.wanted.wait()
                    while peer.waiting:
                        at, data = peer.waiting.popleft()
                        if (
                            self.now() - at < self.charge.lease
                        ):  # an older one answers nothing any more
                            await stream.write(data)
                    peer.wanted.clear()
            except (OSError, StreamClosedError, DeadlineExceededError):
                await sleep(pause)
                pause = min(1.0, 2 * pause)
            finally:
                if stream is not None:
                    stream.close()

    async def handle_stream(self, stream, address):
        connection = object()
        try:
            while True:
                data = await next_message(stream)
                source, version, kind, fields = messages.unpack(
                    self.key, data, lambda name: name in self.peers or name == OPERATOR
                )
                if version > self.newest:
                    raise messages.RejectedError(
                        f"version {version}, {self.newest} is the newest spoken here"
                    )
                if source == OPERATOR:
                    said = await self._asked(kind, fields)
                    await stream.write(
                        messages.pack(self.key, self.me, "answer", version, said=said)
                    )
                    continue
                self.peers[source].speech.heard(connection, version)
                if kind in CALLS:
                    heard(self.charge, source, kind, fields)
                elif kind == "refusals":
                    self.refusals.heard([tuple(entry) for entry in fields["held"]])
                elif kind in messages.COPIED:
                    self.service.copy_came(source, kind, fields)
        except messages.RejectedError as error:
            # One line for each connection, which ends: who is not of this fleet can't fill the log through one.
            self.service.note("refused a controller", peer=address[0], why=str(error))
        except (StreamClosedError, DeadlineExceededError, OSError):
            pass
        finally:
            stream.close()

    async def _asked(self, kind, fields):
        if kind == "fleet":
            held = await self.service.followers()
            told = self.charge.fleet()
            for ward, state in told["wards"].items():
                state["followers"] = sum(1 for _, _, follows in held if follows == ward)
            for name, member in told["members"].items():
                member["speaks"] = (
                    self.newest if name == self.me else self.peers[name].speech.version
                )
            return told
        if kind == "followers":
            names = sorted(
                relay for relay in await self.service.followers() if relay[0] > fields["after"]
            )
            return {"relays": names[:NAMES_MOST], "more": len(names) > NAMES_MOST}
        if kind == "change":
            if any(
                peer.speech.version < 2
                for name, peer in self.peers.items()
                if name in self.charge.members
            ):
                return {"why_not": "a member speaks version 1, which knows no changes of members"}
            return {"why_not": self.charge.change(fields["members"])}
        if kind == "force":
            return {"why_not": self.charge.force(fields["members"])}
        if kind == "hand over":
            ward = fields["ward"]
            return {"handed_over": ward in self.charge.bids and self.charge.hand_over(ward)}
        if kind == "versions":
            return await self.service.asked(fields["wish"])
        raise messages.RejectedError(f"an operator can't say {kind!r}")

    def cease(self):
        """Ends by plan: what is held is handed over first."""
        for ward in self.charge.wards:
            self.charge.hand_over(ward)
        self.ending = True
        self.stop()


def place_of(text):
    address, _, port = text.rpartition(":")
    return address, int(port)


async def ask(place, key, kind, **fields):
    """An operator's question to one controller; its answer. One that speaks only an older version is asked in that."""
    *newer, last = messages.versions_of(kind, fields)
    for version in newer:
        try:
            return await _ask(place, key, version, kind, **fields)
        except StreamClosedError:
            continue
    return await _ask(place, key, last, kind, **fields)


async def _ask(place, key, version, kind, **fields):
    stream = await TCPClient().connect(*place, timeout=2)
    try:
        await stream.write(messages.pack(key, OPERATOR, kind, version, **fields))
        limit = IOLoop.current().time() + 3
        size = messages.length(
            await with_timeout(limit, stream.read_bytes(messages.HEAD), StreamClosedError)
        )
        data = await with_timeout(limit, stream.read_bytes(size), StreamClosedError)
        return messages.unpack(key, data, lambda name: True)[3]["said"]
    finally:
        stream.close()
