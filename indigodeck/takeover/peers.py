"""The sockets between controllers, on Tornado's streams: each dials each, says one message at a time, hears all."""
from collections import deque

from tornado.gen import sleep, with_timeout
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError
from tornado.locks import Event
from tornado.netutil import bind_sockets
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer
from tornado.util import TimeoutError as TooLate

from . import messages
from .charge import Charge

SECOND = 1_000_000
WAITING_MOST = 64      # messages for one member; the oldest goes first, for each is asked again
OPERATOR = "operator"
CALLS = {"greet": "greeted", "tell": "told", "ask": "asked", "grant": "granted", "deny": "denied", "release": "released"}


class Peer:
    """The way to one other member."""

    def __init__(self, place):
        self.place, self.waiting, self.wanted = place, deque(maxlen=WAITING_MOST), Event()


class Peers(TCPServer):
    """A member's surroundings on sockets. `service`: `now()`, `note(event, ..)`, `in_charge(ward, epoch)`,
    `out_of_charge(ward, epoch, why)`; `places`: {member: (address, port)}."""

    def __init__(self, service, me, places, wards, lease, drift, key, file, chance, life):
        super().__init__(max_buffer_size=4 * messages.LONGEST)
        self.service, self.me, self.key, self.file = service, me, key, file
        self.peers = {name: Peer(place) for name, place in places.items() if name != me}
        self.ending = False
        self.charge = Charge(self, me, list(places), wards, lease, drift, chance, life, file.read())
        self.add_sockets(bind_sockets(places[me][1], places[me][0]))
        for peer in self.peers.values():
            IOLoop.current().add_callback(self._speak, peer)

    # What the charge may ask.

    def now(self):
        return self.service.now()

    def later(self, after):
        IOLoop.current().call_later(after / SECOND, self._wake)

    def _wake(self):
        if not self.ending:
            self.charge.woken()

    def send(self, member, kind, **fields):
        peer = self.peers.get(member)
        if peer is not None:
            peer.waiting.append((self.now(), messages.pack(self.key, self.me, kind, **fields)))
            peer.wanted.set()

    def keep(self, record):
        return self.file.keep(record)

    def in_charge(self, ward, epoch):
        self.service.in_charge(ward, epoch)

    def out_of_charge(self, ward, epoch, why):
        self.service.out_of_charge(ward, epoch, why)

    def note(self, text):
        self.service.note(text)

    # The sockets.

    async def _speak(self, peer):
        pause = 0.05
        while not self.ending:
            try:
                stream = await TCPClient().connect(*peer.place, timeout=1)
                stream.set_nodelay(True)
                pause = 0.05
                while not self.ending:
                    await peer.wanted.wait()
                    while peer.waiting:
                        at, data = peer.waiting.popleft()
                        if self.now() - at < self.charge.lease:        # an older one answers nothing any more
                            await stream.write(data)
                    peer.wanted.clear()
            except (OSError, StreamClosedError, TooLate):
                await sleep(pause)
                pause = min(1.0, 2 * pause)

    async def handle_stream(self, stream, address):
        try:
            while True:
                head = await stream.read_bytes(messages.HEAD)
                limit = IOLoop.current().time() + 5
                data = await with_timeout(limit, stream.read_bytes(messages.length(head)), StreamClosedError)
                source, kind, fields = messages.unpack(self.key, data, lambda name: name in self.peers or name == OPERATOR)
                if source == OPERATOR:
                    await stream.write(messages.pack(self.key, self.me, "answer", said=self._asked(kind, fields)))
                elif kind in CALLS:
                    if "round" in fields:
                        fields["round_"] = fields.pop("round")
                    getattr(self.charge, CALLS[kind])(source, **fields)
        except messages.Refused as error:
            # One line for each connection, which ends: who is not of this fleet can't fill the log through one.
            self.service.note("refused a controller", peer=address[0], why=str(error))
        except (StreamClosedError, TooLate, OSError):
            pass
        finally:
            stream.close()

    def _asked(self, kind, fields):
        if kind == "fleet":
            return self.charge.fleet()
        if kind == "hand over":
            ward = fields["ward"]
            return {"handed_over": ward in self.charge.bids and self.charge.hand_over(ward)}
        raise messages.Refused(f"an operator can't say {kind!r}")

    def cease(self):
        """Ends by plan: what is held is handed over first."""
        for ward in self.charge.wards:
            self.charge.hand_over(ward)
        self.ending = True
        self.stop()


async def ask(place, key, kind, **fields):
    """An operator's question to one controller; its answer."""
    stream = await TCPClient().connect(*place, timeout=2)
    try:
        await stream.write(messages.pack(key, OPERATOR, kind, **fields))
        limit = IOLoop.current().time() + 3
        size = messages.length(await with_timeout(limit, stream.read_bytes(messages.HEAD), StreamClosedError))
        _, _, said = messages.unpack(key, await with_timeout(limit, stream.read_bytes(size), StreamClosedError), lambda name: True)
        return said["said"]
    finally:
        stream.close()
