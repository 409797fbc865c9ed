"""What is said on SASP connections, free of I/O: who is registered for what, and what each is told.

A load balancer is a proxy, a group is a class, a member is a server; the weights of a group are the class's
table as the planner_host holds it for that proxy. Nothing is weighed here: what can't be told by a weight is said by
a flag, and where there is no table yet, that there is no opinion (docs/sasp.md).
"""

from ...planner.weights import scaled
from . import codec
from .codec import (
    ALREADY_REGISTERED,
    BALANCER_ABSENT,
    BALANCER_SET,
    BALANCER_SIZE,
    BY_BALANCER,
    CONFIDENT,
    CONTACT,
    DEREGISTERED,
    DONE,
    DUPLICATE_GROUP,
    DUPLICATE_MEMBER,
    GROUP_NAME_SIZE,
    INVALID_GROUP,
    MEMBERS_SET,
    NOT_ACCEPTED,
    NOT_REGISTERED,
    QUIESCED,
    REGISTERED,
    UNKNOWN_BALANCER,
    UNKNOWN_GROUP,
    Entry,
    MalformedSaspMessageError,
    Member,
)

QUARREL = 3  # times that one id may be taken over within the span that messages are counted in
NEUTRAL = 1  # the weight of a member of which nothing is known: the same for all


class Group:
    """One group of one load balancer: members by (address, port), who registered each, what they say."""

    def __init__(self):
        self.members, self.by_balancer, self.quiet, self.states = {}, set(), set(), {}
        self.told = {}  # (address, port): (weight, flags, state), as last written


class RegistrationRegistry:
    """All conversations of one planner's SASP front. `planner_host` holds the tables; `clerk` is the program around:
    `proxy(uid)` a number for it or None, `joined(proxy, uid)`, `left(proxy)`, `server_at(place)` an index or
    None, `address(server)` (address, port), `in_contact(server)`, `quiesced(place, on)`, `note(event, **facts)`.
    """

    def __init__(self, planner_host, clerk, classes, bounds, interval, span):
        self.planner_host, self.clerk, self.bounds = planner_host, clerk, bounds
        self.interval, self.span = interval, span
        self.places = {name.encode(): place for place, name in enumerate(classes)}
        self.names = {place: name.encode() for place, name in enumerate(classes)}
        self.balancers, self.taken, self.number = {}, {}, 0

    def claim(self, uid, conversation):
        """The newest connection speaks for an id: the older is most often a broken one that nobody noticed.
        Two that take it from each other by turns are told apart from that by their pace, and the newest waits.
        """
        older, now = self.balancers.get(uid), self.planner_host.now()
        if older is conversation:
            return True
        lately = [at for at in self.taken.get(uid, ()) if now - at < self.span]
        if older is not None:
            if len(lately) >= QUARREL:
                self.taken[uid] = lately
                return False
            self.taken[uid] = lately + [now]
            older.replaced()
        self.balancers[uid] = conversation
        for other in [other for other, times in self.taken.items() if now - times[-1] >= self.span]:
            del self.taken[other]
        return True

    def release(self, uid, conversation):
        if self.balancers.get(uid) is conversation:
            del self.balancers[uid]

    def next_number(self):
        # Unsolicited messages count downwards from the top: a relay's own requests count upwards.
        self.number = (self.number - 1) & 0xFFFFFFFF
        return self.number


class Conversation:
    """One connection. `line`: `send(bytes)` answers, `due()` says that weights wait, `close(why)`."""

    def __init__(self, office, line):
        self.office, self.planner_host, self.line = office, office.planner_host, line
        self.uid = self.proxy = None
        self.push = self.trust = self.no_change = False
        self.groups = {}  # class's place: Group

    # What comes in. Each request is answered once.

    def read(self, message):
        if self.proxy is not None:
            self.planner_host.on_proxy_request(self.proxy)
        try:
            codec.dispatch(message, self, self.office.bounds)
        except MalformedSaspMessageError as error:
            self.office.clerk.note(
                "malformed", peer=self.name(), why=str(error), code=error.return_code
            )
            if error.reply_type is None:
                return self.line.close(str(error))
            number = int.from_bytes(message[9:13], "big")
            self.line.send(codec.answer(number, error.reply_type, error.return_code))

    def name(self):
        return self.uid.decode("utf-8", "replace") if self.uid else None

    def set_balancer(self, number, uid, health, push, trust, no_change):
        self.line.send(codec.answer(number, BALANCER_SET, self._introduced(uid)))
        if self.uid == uid and self.proxy is not None:
            turned_on = push and not self.push
            self.push, self.trust, self.no_change = push, trust, no_change
            if turned_on and self.groups:
                self.line.due()

    def _introduced(self, uid):
        if not uid:
            return BALANCER_SIZE
        if self.uid not in (None, uid):
            return NOT_ACCEPTED
        if self.uid == uid:
            return DONE
        proxy = self.office.clerk.proxy(uid)
        if proxy is None or not self.office.claim(uid, self):
            self.office.clerk.note(
                "refused",
                peer=uid.decode("utf-8", "replace"),
                why="not in charge of it, or too many relays"
                if proxy is None
                else "its id is taken over by turns",
            )
            return NOT_ACCEPTED
        self.uid, self.proxy = uid, proxy
        self.office.clerk.joined(proxy, uid)
        return DONE

    def register(self, number, by_balancer, groups):
        code, target = self._registered(by_balancer, groups)
        self.line.send(codec.answer(number, REGISTERED, code))
        if code == DONE and target.push:
            target.line.due()

    def _speaker(self, by_balancer, named):
        """The conversation whose groups are spoken of, or a code: members speak on connections of their own."""
        uid, name = named
        if not uid:
            return BALANCER_SIZE
        if not name:
            return GROUP_NAME_SIZE
        if by_balancer:
            return self if uid == self.uid and self.proxy is not None else UNKNOWN_BALANCER
        return self.office.balancers.get(uid, BALANCER_ABSENT)

    def _registered(self, by_balancer, groups):
        """Checked as a whole before anything is changed: a refused request leaves nothing behind."""
        adding, target = [], self
        for named, members in groups:
            speaker = self._speaker(by_balancer, named)
            if not isinstance(speaker, Conversation):
                return speaker, self
            target, place = speaker, self.office.places.get(named[1])
            if place is None:
                return INVALID_GROUP, self
            held = speaker.groups.get(place, Group()).members
            places = [member.endpoint() for member in members]
            if len(set(places)) < len(places) or any(place == other for other, _ in adding):
                return DUPLICATE_MEMBER, self
            if any(where in held for where in places):
                return ALREADY_REGISTERED, self
            # Its weights must fit a component, whose length is 16 bits: long labels can fill that with few.
            room = sum(44 + len(member.label) for member in [*held.values(), *members])
            if (
                len(held) + len(places) > self.office.bounds.members
                or room > codec.LONGEST_COMPONENT - 1024
            ):
                return NOT_ACCEPTED, self
            adding.append((place, members))
        for place, members in adding:
            group = target.groups.setdefault(place, Group())
            for member in members:
                group.members[member.endpoint()] = member
                if by_balancer:
                    group.by_balancer.add(member.endpoint())
        return DONE, target

    def deregister(self, number, by_balancer, reason, groups):
        self.line.send(codec.answer(number, DEREGISTERED, self._deregistered(by_balancer, groups)))

    def _deregistered(self, by_balancer, groups):
        if not groups:
            # No group named: all of them.
            if not by_balancer or self.proxy is None:
                return UNKNOWN_BALANCER
            self.groups.clear()
            return DONE
        leaving = []
        for named, members in groups:
            speaker = self._speaker(by_balancer, named)
            if not isinstance(speaker, Conversation):
                return speaker
            place = self.office.places.get(named[1])
            group = speaker.groups.get(place)
            if group is None:
                return UNKNOWN_GROUP
            places = [member.endpoint() for member in members]
            if len(set(places)) < len(places):
                return DUPLICATE_MEMBER
            if any(other == place for _, other, _ in leaving):
                return DUPLICATE_GROUP
            if any(where not in group.members for where in places):
                return NOT_REGISTERED
            leaving.append((speaker, place, places))
        for speaker, place, places in leaving:
            group = speaker.groups[place]
            for where in places:
                del group.members[where]
                group.by_balancer.discard(where)
                group.quiet.discard(where)
                group.told.pop(where, None)
            if not places:
                del speaker.groups[place]
            elif speaker.push:
                speaker.line.due()
        return DONE

    def get_weights(self, number, names):
        code, places = DONE, []
        for uid, name in names or [
            (self.uid, self.office.names[place]) for place in sorted(self.groups)
        ]:
            place = self.office.places.get(name)
            if not uid or uid != self.uid or self.proxy is None:
                code = UNKNOWN_BALANCER if uid else BALANCER_SIZE
            elif place not in self.groups:
                code = UNKNOWN_GROUP
            elif place in places:
                code = DUPLICATE_GROUP
            places.append(place)
        if code != DONE:
            return self.line.send(codec.answer(number, codec.WEIGHTS, code))
        groups = [self._whole(place) for place in places]
        self.line.send(codec.weights(number, DONE, self.office.interval, groups))

    def set_members(self, number, by_balancer, groups):
        self.line.send(codec.answer(number, MEMBERS_SET, self._stated(by_balancer, groups)))

    def _stated(self, by_balancer, groups):
        changes = []
        for named, states in groups:
            speaker = self._speaker(by_balancer, named)
            if not isinstance(speaker, Conversation):
                return speaker
            group = speaker.groups.get(self.office.places.get(named[1]))
            if group is None:
                return UNKNOWN_GROUP
            known = (
                group.members.keys()
                if not speaker.trust
                else group.members.keys()
                | {self.office.clerk.address(server) for server in self._lines(named[1], speaker)}
            )
            if any(member.endpoint() not in known for member, _, _ in states):
                return NOT_REGISTERED
            changes.append((speaker, group, states))
        for speaker, group, states in changes:
            for member, state, quiesce in states:
                where = member.endpoint()
                group.states[where] = state
                if by_balancer:
                    # A relay's own wish, for its own exchanges; what a member says of itself holds for all.
                    (group.quiet.add if quiesce else group.quiet.discard)(where)
                else:
                    self.office.clerk.quiesced(where, quiesce)
            if speaker.push:
                speaker.line.due()
        return DONE

    def _lines(self, name, speaker):
        return self.planner_host.table_for(speaker.proxy, self.office.places[name]) or {}

    def answered(self, number, kind, code):
        raise MalformedSaspMessageError(f"a reply ({kind:#06x}) to nothing that was asked")

    def weights(self, number, code, interval, groups):
        raise MalformedSaspMessageError("weights are sent to relays, not by them")

    def sent_weights(self, number, groups):
        raise MalformedSaspMessageError("weights are sent to relays, not by them")

    # What goes out.

    def news(self):
        """The message that brings a relay up to date, or None where it wants none or nothing has changed."""
        if not self.push or self.proxy is None:
            return None
        groups = []
        for place in sorted(self.groups):
            told = dict(self.groups[place].told)
            named, entries = self._whole(place)
            if self.no_change:
                entries = [
                    entry
                    for entry in entries
                    if told.get(entry.member.endpoint()) != (entry.weight, entry.flags, entry.state)
                ]
            if entries:
                groups.append((named, entries))
        return codec.send_weights(self.office.next_number(), groups) if groups else None

    def _whole(self, place):
        """All that a group's members are told, and kept as told."""
        group, lines = self.groups[place], self.planner_host.table_for(self.proxy, place)
        entries = self._no_table(group) if lines is None else self._table(group, lines)
        for entry in entries:
            group.told[entry.member.endpoint()] = entry.weight, entry.flags, entry.state
        for where in [
            where
            for where, told in group.told.items()
            if told and told[0] == 0 and where not in group.members
        ]:
            del group.told[where]  # said once that it is out; it was never registered
        return (self.uid, self.office.names[place]), entries

    def _entry(self, group, where, weight, server):
        # By what is withdrawn, never by the list: a host that is wrongly listed as gone may be kept on purpose.
        out = server in self.planner_host.ejected_servers or where in group.quiet
        flags = (QUIESCED if out else 0) | (BY_BALANCER if where in group.by_balancer else 0)
        if server is not None:
            flags |= CONFIDENT | (CONTACT if self.office.clerk.in_contact(server) else 0)
        weight = 0 if flags & QUIESCED else weight
        return Entry(
            group.members.get(where) or Member.at(*where), weight, flags, group.states.get(where, 0)
        )

    def _table(self, group, lines):
        clerk, weights = self.office.clerk, scaled(lines)
        at = {clerk.address(server): server for server in lines}
        if not self.trust:
            at = {where: server for where, server in at.items() if where in group.members}
            if lines and not at:
                # None that it may use is in the table: that says nothing of those that it has.
                return self._no_table(group)
        entries = [
            self._entry(group, where, weights[server], server)
            for where, server in sorted(at.items())
        ]
        rest = (group.members.keys() | group.told.keys()) - at.keys()
        return entries + [
            self._entry(group, where, 0, clerk.server_at(where)) for where in sorted(rest)
        ]

    def _no_table(self, group):
        """No opinion: all alike and not confident, but for those that drain or are gone."""
        entries = []
        for where in sorted(group.members):
            entries.append(self._entry(group, where, NEUTRAL, self.office.clerk.server_at(where)))
        held = {entry.member.endpoint() for entry in entries}
        for server in sorted(self.planner_host.ejected_servers):
            # It may hold such a host from an earlier connection, and never have registered it.
            where = self.office.clerk.address(server)
            if self.trust and where and where not in held:
                entries.append(self._entry(group, where, 0, server))
        # None of it is from a table: a relay that took the first confident word for a whole one was left bare.
        return [entry._replace(flags=entry.flags & ~CONFIDENT) for entry in entries]

    # How it ends.

    def replaced(self):
        """Another connection speaks for this id now, or another planner; the proxy itself goes on."""
        self.proxy = None
        self.line.close("its relay is spoken to elsewhere now")

    def ended(self):
        if self.uid is not None:
            self.office.release(self.uid, self)
        if self.proxy is not None:
            proxy, self.proxy = self.proxy, None
            self.office.clerk.left(proxy)
