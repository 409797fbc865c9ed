"""Versions, acknowledgements and subscriptions of xDS streams, free of I/O.

A relay may have several streams, as clients with a channel for each class do; they share its proxy, its message limit
and its tables. Each stream keeps, for each type, what it subscribes to, what it was sent, what it acknowledged and what
it refused. (The xDS REST and gRPC protocol, as published with the data plane API; docs/xds.md.)
"""

from collections import OrderedDict

from ...assignment.interface import ServerState
from . import codec
from .codec import CLUSTER, ENDPOINTS, KINDS, LISTENER, ROUTE

ANSWERED_WITHIN = 10_000_000  # microseconds; a relay that answers a response no sooner is let go, and comes back with what it holds
UNDERWAY_MOST = (
    3  # responses of one type that may wait for their acknowledgement; then the newest state waits
)
WILDCARD = "*"


class Bounds:
    """What one relay may ask for: names in all, streams at one time."""

    def __init__(self, names=256, streams=16):
        self.names, self.streams = names, streams


class LimitExceededError(Exception):
    """A relay asks for more than is allowed; its stream ends."""


class NotLeaderError(Exception):
    """Another controller is in charge of this relay."""


class ResourceCache:
    """The resources as one relay should see them. `classes` may change while streams are open; `planner_host` holds tables;
    `clerk.host(server)` gives (hall, id, address, port) or None.
    """

    def __init__(self, planner_host, clerk, classes, scaled):
        self.planner_host, self.clerk, self.classes, self.scaled = (
            planner_host,
            clerk,
            dict(classes),
            scaled,
        )
        self.fixed = {}

    def names(self):
        return self.classes.keys()

    def resource(self, kind, name, proxy):
        """(version, bytes), or None where there is none, or none yet."""
        place = self.classes.get(name)
        if place is None:
            return None
        if kind in (CLUSTER, LISTENER):
            return self._made(
                (kind, name),
                None,
                lambda: (codec.cluster if kind == CLUSTER else codec.listener)(name),
            )
        edition, (level, way) = (
            self.planner_host.revision_of(proxy, place),
            self.planner_host.admission_for(proxy, place),
        )
        if kind == ROUTE:
            return self._made((kind, name, way), None, lambda: codec.route(name, max(0, way - 1)))
        if edition is None:
            return None  # no table yet: the relay keeps what it has
        # Proxies that share a table share its bytes: made once, whoever asks first.
        return self._made(
            (kind, name, edition[0]), edition, lambda: self._endpoints(name, place, proxy, level)
        )

    def _made(self, key, edition, make):
        held = self.fixed.get(key)
        if held is None or held[0] != edition:
            held = self.fixed[key] = edition, make()
        return held[1]

    def _endpoints(self, name, place, proxy, level):
        lines = self.planner_host.table_for(proxy, place)
        weights = self.scaled(lines)
        told = [host + (weights[server],) for server in lines if (host := self.clerk.host(server))]
        out = [
            host + (0,)
            for server in self.planner_host.ejected_servers
            if self.planner_host.endpoint(server) is not None
            and self.planner_host.endpoint(server).state == ServerState.DRAINING
            and (host := self.clerk.host(server))
        ]
        return codec.endpoints(name, told, out, min(1.0, max(0.0, level)))


class Type:
    """One type of resource on one stream."""

    def __init__(self):
        self.asked, self.wild, self.begun = set(), False, False
        self.sent, self.held, self.refused = {}, {}, {}  # {name: version}
        self.underway = OrderedDict()  # nonce: ({name: version}, [removed], [parcels])
        self.absent = set()  # names that were told not to exist
        self.turn = False  # something was asked that wants an answer even if nothing changed


class Stream:
    """One aggregated stream. `delta`: incremental. `line`: `send(kind, version, nonce, resources, removed)`, `due()`,
    `later(after, call, *given)`, `end()`.
    """

    def __init__(self, relay, line, delta):
        self.relay, self.line, self.delta = relay, line, delta
        self.types = {kind: Type() for kind in KINDS}
        self.number = 0

    # What comes in.

    def asked_whole(self, kind, names, nonce, error):
        """A state-of-the-world request: a subscription, an acknowledgement or a refusal, often two at once."""
        held = self.types.get(kind)
        if held is None:
            return  # a type that is not served: never answered, as the protocol has it
        self._bound(len(names), held)
        if nonce and not self._settled(kind, held, nonce, error):
            return  # an older response's: what it asks for was asked before that one was read
        if not held.begun:
            held.refused.update(self.relay.refused_before(kind))
        if names:
            held.wild = kind in (CLUSTER, LISTENER) and WILDCARD in names
        elif not held.begun:
            held.wild = kind in (CLUSTER, LISTENER)
        fresh = set(names) - held.asked
        held.asked = set(names)
        held.begun = True
        # What is dropped from a subscription may be asked for again, and is sent again then.
        for known in (held.sent, held.held, held.refused):
            for name in [name for name in known if not self._wants(held, name)]:
                del known[name]
        held.turn = held.turn or bool(fresh) or (not nonce)
        self.line.due()

    def asked_changes(self, kind, subscribe, unsubscribe, holding, nonce, error):
        """An incremental request; `holding`: {name: version} of what a relay brings from an earlier stream."""
        held = self.types.get(kind)
        if held is None:
            return
        self._bound(len(held.asked) + len(subscribe), held)
        if nonce:
            self._settled(kind, held, nonce, error)
        if not held.begun:
            held.wild = kind in (CLUSTER, LISTENER) and not subscribe
            held.refused.update(self.relay.refused_before(kind))
            held.sent.update(holding)
            held.held.update(holding)
        held.begun = True
        if WILDCARD in subscribe:
            held.wild = True
        if WILDCARD in unsubscribe:
            held.wild = False
        held.asked |= set(subscribe) - {WILDCARD}
        held.asked -= set(unsubscribe)
        held.absent -= set(subscribe)  # asked anew: told anew
        for name in unsubscribe:
            for known in (held.sent, held.held, held.refused):
                known.pop(name, None)
        self.line.due()

    def _bound(self, names, held):
        others = sum(len(other.asked) for other in self.types.values() if other is not held)
        if names + others > self.relay.bounds.names:
            raise LimitExceededError(f"{names + others} names, {self.relay.bounds.names} at most")

    def _settled(self, kind, held, nonce, error):
        """An acknowledgement or refusal of one response. In the whole form it speaks for those before it too, which
        the relay has read by then; in the incremental form each is answered by itself. Whether it was the newest:
        only then does a subscription of the whole form that came with it count.
        """
        if nonce not in held.underway:
            return False
        before, unsure = list(held.underway)[: list(held.underway).index(nonce)], []
        if self.delta:
            for number in before:
                unsure += self._lost(held, *held.underway.pop(number))
            before = []
        for number in before + [nonce]:
            versions, removed, parcels = held.underway.pop(number)
            if unsure:
                # It is up to date when what it may lack is answered, too.
                self.relay.parcels, parcels = unsure + parcels + self.relay.parcels, []
            if number == nonce and error:
                held.refused.update(versions)
                # It goes on with what it held: that is what is known of it now.
                for name in versions:
                    if name in held.held:
                        held.sent[name] = held.held[name]
                    else:
                        held.sent.pop(name, None)
                self.relay.refused(kind, versions, error)
            else:
                held.held.update(versions)
                for name in removed:
                    held.held.pop(name, None)
            # A newer one that was taken speaks for the older, for it held all that they did.
            self.relay.settled(parcels, not error)
        self.line.due()
        return not held.underway

    def _unanswered(self, held, nonce):
        """What waits behind responses that are never answered would wait for good."""
        if nonce in held.underway:
            self.line.end()

    def _lost(self, held, versions, removed, parcels):
        """A response to which a later one's answer came first: it was passed by, or its answer was. Which is not known, so what
        it held is told again: else the relay would hold one class of a newer version beside another of an older one for good.
        The parcels that came with it.
        """
        for name in versions:
            held.sent.pop(name, None)
            held.held.pop(name, None)
        held.sent.update((name, held.held.get(name, "")) for name in removed)
        return parcels

    @staticmethod
    def _wants(held, name):
        return held.wild or name in held.asked

    # What goes out.

    def news(self, only=KINDS):
        """Sends the next response that is due, if any, of these types: additions before what leads to them, removals
        after it. The type that was sent, or None.
        """
        return next((kind for kind in KINDS if kind in only and self._send(kind)), None)

    def _later(self, kind):
        """Whether something that may still lead to resources of this type is to be sent or acknowledged first."""
        if kind in (LISTENER, ROUTE):
            return False
        return any(
            self.types[user].underway
            or any(
                self.types[user].sent.get(name) != found[0]
                for name in self._existing(self.types[user])
                if (found := self._resource(user, name))
                and self.types[user].refused.get(name) != found[0]
            )
            or self.types[user].sent.keys() - self.relay.shelf.names()
            for user in (LISTENER, ROUTE)
        )

    def _existing(self, held):
        return sorted(name for name in self.relay.shelf.names() if self._wants(held, name))

    def _resource(self, kind, name):
        return self.relay.shelf.resource(kind, name, self.relay.proxy)

    def _send(self, kind):
        held = self.types[kind]
        if not held.begun or len(held.underway) >= UNDERWAY_MOST:
            return False
        found = {
            name: resource
            for name in self._existing(held)
            if (resource := self._resource(kind, name))
        }
        changed = [
            name
            for name, (version, _) in found.items()
            if held.sent.get(name) != version and held.refused.get(name) != version
        ]
        gone = sorted(name for name in held.sent if name not in self.relay.shelf.names())
        if gone and self._later(kind):
            gone = []
        absent = (
            sorted(
                name
                for name in held.asked
                if name not in self.relay.shelf.names()
                and name not in held.absent
                and name not in held.sent
            )
            if self.delta
            else []
        )
        # Listeners and clusters come whole in this form: what is left out is removed.
        entire = not self.delta and kind in (CLUSTER, LISTENER)
        if not (changed or gone or absent or (held.turn and entire)):
            held.turn = False
            if kind == ENDPOINTS and self.relay.parcels and not held.underway:
                self._lacks_nothing(held, found)
            return False
        if not self.delta and not entire and not changed:
            for name in gone:
                del held.sent[name]  # there is no way to say so; it goes with its cluster
            return False
        names = sorted(found) if entire else changed
        resources = [
            (name, *found[name]) for name in names if held.refused.get(name) != found[name][0]
        ]
        self.number += 1
        nonce, versions = str(self.number), {name: version for name, version, _ in resources}
        self.line.send(kind, self.relay.version(), nonce, resources, gone + absent)
        self.line.later(ANSWERED_WITHIN, self._unanswered, held, nonce)
        held.turn = False
        held.sent.update(versions)
        held.absent.update(absent + gone)
        for name in gone:
            held.sent.pop(name, None)
        held.underway[nonce] = versions, gone, self.relay.parcels_out() if kind == ENDPOINTS else []
        return True

    def _lacks_nothing(self, held, found):
        """A relay that comes with what it should hold is sent nothing and answers nothing: what waited to be told to it is
        with it all the same.
        """
        holds = {
            self.relay.shelf.classes[name]
            for name, (version, _) in found.items()
            if held.held.get(name) == version
        }
        waiting = self.relay.parcels_out()
        self.relay.parcels = [parcel for parcel in waiting if not parcel.class_indices <= holds]
        self.relay.settled([parcel for parcel in waiting if parcel.class_indices <= holds], True)


class Relay:
    """A relay, by its node id: its streams, its proxy, what it refused. `clerk`: `note(event, **facts)`, `epoch(proxy)`,
    `refused(uid, class, version)`, `refusals(uid)`: {class: version} of earlier streams, here or elsewhere.
    """

    def __init__(self, uid, proxy, shelf, planner_host, clerk, bounds):
        self.uid, self.proxy, self.shelf, self.planner_host, self.clerk, self.bounds = (
            uid,
            proxy,
            shelf,
            planner_host,
            clerk,
            bounds,
        )
        self.streams = []
        self.serial, self.parcels = 0, []

    def opened(self, line, delta):
        if len(self.streams) >= self.bounds.streams:
            raise LimitExceededError(f"{self.bounds.streams} streams are open")
        stream = Stream(self, line, delta)
        self.streams.append(stream)
        return stream

    def closed(self, stream):
        self.streams.remove(stream)

    def version(self):
        """A response's number under the epoch that it is sent by: relays refuse an epoch below the highest seen."""
        self.serial += 1
        return f"{self.clerk.epoch(self.proxy)}.{self.serial}"

    def refused(self, kind, versions, error):
        self.clerk.note(
            "refused by a relay",
            relay=self.uid,
            kind=kind.rpartition(".")[2],
            why=error[:500],
            resources=sorted(versions),
        )
        if kind == ENDPOINTS:
            for name, version in versions.items():
                self.clerk.refused(self.uid, name, version)

    def refused_before(self, kind):
        """Versions are hashes of content, so that what a relay refused of another controller is known again."""
        return self.clerk.refusals(self.uid) if kind == ENDPOINTS else {}

    def take(self):
        """What waits at the planner_host is on its way now: with the next endpoints that any stream sends."""
        parcel = self.planner_host.take_updates(self.proxy)
        if parcel is not None:
            self.parcels = (self.parcels + [parcel])[-64:]

    def parcels_out(self):
        parcels, self.parcels = self.parcels, []
        return parcels

    def settled(self, parcels, taken):
        """A response was answered. One that was refused counts as not applied: the assigner's marks stay
        unanswered, as they would if the stream broke.
        """
        for parcel in parcels if taken else ():
            self.planner_host.on_delivered(parcel)

    def due(self):
        for stream in self.streams:
            stream.line.due()
