"""The platform's messages: lines, reports, news, list entries, orders and answers. No I/O; every field is checked.

Reading gives plain values under the project's own names, times in whole microseconds; what is not as the protocol
says raises `Malformed`. Names of zones, kinds and classes become their places in the charter.
"""

import json
from typing import NamedTuple

from ..assignment.interface import ServerState
from ..errors import MalformedMessageError
from ..settings import microseconds

LINE_MOST = 1 << 20  # bytes of one message
CALL_MOST = 60_000  # bytes of a call, all of its line: the relay turns longer ones away
NAME_MOST = 256  # characters of an id
MANY = 1_000_000_000  # above any count that a report can hold
DAY_MS = 86_400_000
EVERYTHING = "*"
STATES = {
    "SERVING": ServerState.READY,
    "DRAINING": ServerState.DRAINING,
    "DELETED": ServerState.GONE,
}
LOADS = {"inflight": "in_hand", "queue": "waiting", "util": "cores_busy"}
ALIVE = b'{"type":"alive"}\n'


def _no_number(text):
    raise ValueError(f"{text} is no number")


def read_object(data):
    """One JSON object from bytes, whatever these are."""
    try:
        given = json.loads(str(data, "utf-8"), parse_constant=_no_number)
    except (ValueError, RecursionError) as error:  # a deep nesting must not end the program
        raise MalformedMessageError(f"no JSON: {type(error).__name__}") from error
    if not isinstance(given, dict):
        raise MalformedMessageError("no JSON object")
    return given


def _field(given, name):
    try:
        return given[name]
    except KeyError:
        raise MalformedMessageError(f"{name} is missing") from None


def _number(given, name, most, least=0):
    """Truth values count as numbers in Python, and not here; NaN and infinities lie outside every range."""
    value = _field(given, name)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not least <= value <= most:
        raise MalformedMessageError(f"{name} is no number from {least} to {most}")
    return value


def _count(given, name, most, least=0):
    value = _number(given, name, most, least)
    if value != int(value):
        raise MalformedMessageError(f"{name} is no whole number")
    return int(value)


def _name(given, name):
    value = _field(given, name)
    if not isinstance(value, str) or not 0 < len(value) <= NAME_MOST:
        raise MalformedMessageError(f"{name} is no name")
    return value


def _truth(given, name):
    value = _field(given, name)
    if not isinstance(value, bool):
        raise MalformedMessageError(f"{name} is neither true nor false")
    return value


def address(text):
    """(address, port) of "ADDRESS:PORT"."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (colon and host and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise MalformedMessageError("no ADDRESS:PORT")
    return host.strip("[]"), int(port)


class Entry(NamedTuple):
    """A server as the list has it. `born`: microseconds of Unix time, 0 for long ago."""

    name: str
    dial: tuple
    zone: int
    kind: int
    cell: int
    weight: float
    born: int
    state: str


class Catalog(NamedTuple):
    """An answer of discovery. `spoilt`: names of entries that can't be used, as far as they have one."""

    version: int
    whole: bool
    entries: list
    spoilt: set


class MessageCodec:
    """Reads messages with the names that one charter knows."""

    def __init__(self, settings):
        self.zones = {name: place for place, name in enumerate(settings.zone_names)}
        self.kinds = {name: place for place, name in enumerate(settings.machine_type_names)}
        self.class_names = [kind.name for kind in settings.classes]
        self.classes = {name: place for place, name in enumerate(self.class_names)}
        self.proxies = settings.proxy_count or 65535
        # No client waits longer, so no mean of good answers is above it; reports blur their times.
        self.mean_most = 2 * max(kind.deadline for kind in settings.classes) / 1000

    def _place(self, given, name, places):
        value = _field(given, name)
        if not isinstance(value, str) or value not in places:
            raise MalformedMessageError(f"{name} names nothing that exists")
        return places[value]

    def _proxy(self, given):
        return _count(given, "proxy", self.proxies - 1)

    def agent(self, given):
        """The zone that a collector introduces itself with."""
        return self._place(given, "zone", self.zones)

    def outcomes(self, given):
        """(zone, server's name, tries, failed, mean time of the others, span, load or None)"""
        tries = _count(given, "tries", MANY)
        failed = _count(given, "failed", tries)
        took = (
            0
            if failed == tries and given.get("mean_ms") is None
            else _number(given, "mean_ms", self.mean_most)
        )
        return (
            self._place(given, "zone", self.zones),
            _name(given, "server"),
            tries,
            failed,
            microseconds(took),
            microseconds(_number(given, "span_ms", DAY_MS, 1)),
            self.load(given.get("load")),
        )

    def load(self, given):
        """A load report by the project's names, or None where there is none."""
        if given is None:
            return None
        if not isinstance(given, dict):
            raise MalformedMessageError("load is no object")
        return {
            LOADS.get(name, name): float(_number(given, name, MANY))
            for name in given
            if name in LOADS
        }

    def demand(self, given):
        """(proxy, class's place, exchanges, failed, span)"""
        exchanges = _count(given, "tries", MANY)
        return (
            self._proxy(given),
            self._place(given, "class", self.classes),
            exchanges,
            _count(given, "failed", exchanges),
            microseconds(_number(given, "span_ms", DAY_MS, 1)),
        )

    def hello(self, given):
        """(proxy, zone, rate, fresh)"""
        return (
            self._proxy(given),
            self._place(given, "zone", self.zones),
            float(_number(given, "weight", MANY)),
            _truth(given, "fresh"),
        )

    def bye(self, given):
        return self._proxy(given)

    def ack(self, given):
        """(proxy, mark, time it took)"""
        return (
            self._proxy(given),
            _count(given, "mark", 65535),
            microseconds(_number(given, "took_ms", DAY_MS)),
        )

    def entry(self, given):
        if not isinstance(given, dict):
            raise MalformedMessageError("a list entry is no object")
        return Entry(
            _name(given, "host"),
            address(_field(given, "dial")),
            self._place(given, "site", self.zones),
            self._place(given, "class", self.kinds),
            _count(given, "block", 65535),
            float(_number(given, "share", MANY)),
            microseconds(_number(given, "born_ms", 1e14)),
            self._place(given, "health", STATES),
        )

    def catalog(self, given):
        """A list answer as `Catalog`; an entry that can't be used is passed over alone."""
        hosts, entries, spoilt = _field(given, "hosts"), [], set()
        if not isinstance(hosts, list):
            raise MalformedMessageError("hosts is no list")
        for stated in hosts:
            try:
                entries.append(self.entry(stated))
            except MalformedMessageError:
                spoilt.add(
                    stated.get("host")
                    if isinstance(stated, dict) and isinstance(stated.get("host"), str)
                    else ""
                )
        return Catalog(_count(given, "seq", 1 << 53), _truth(given, "whole"), entries, spoilt)

    def _routes(self, classes):
        return {"routes": [self.class_names[place] for place in classes]} if classes else {}

    # Orders.

    @staticmethod
    def put(table, server, weight):
        return {"do": "put", "group": table, "server": server, "weight": weight}

    @staticmethod
    def wipe(table):
        return {"do": "wipe", "group": table}

    def attach(self, proxy, table, classes):
        return {"do": "attach", "proxy": proxy, "group": table, **self._routes(classes)}

    @staticmethod
    def eject(server, out):
        return {"do": "eject" if out else "uneject", "server": server}

    def gate(self, table, classes, level, tries):
        return {
            "do": "gate",
            "group": table,
            **self._routes(classes),
            "admit": level,
            "policy": tries,
        }

    @staticmethod
    def fence(number, everyone):
        return {"do": "fence", "nonce_out": number, "on": int(everyone)}


def pack(given):
    return json.dumps(given, separators=(",", ":")).encode()


def call(number, method, params=None):
    """One call to the relay, as a line."""
    stated = {"jsonrpc": "2.0", "id": number, "method": method}
    return pack(stated if params is None else {**stated, "params": params}) + b"\n"


def accepted(data, number, most):
    """(orders taken, None) or (0, the error's word) of the answer to a call."""
    given = read_object(data)
    # JSON-RPC leaves the id out where the call could not be read; one call is under way, so it is that one.
    unread = "error" in given and given.get("id", number) is None
    if not unread and (given.get("id") != number or isinstance(given.get("id"), bool)):
        raise MalformedMessageError("an answer to another call")
    if "error" in given:
        error = given["error"]
        word = error.get("message") if isinstance(error, dict) else error
        if not isinstance(word, str):
            raise MalformedMessageError("an error without a word")
        return 0, word
    if not isinstance(given.get("result"), dict):
        raise MalformedMessageError("an answer without a result")
    return _count(given["result"], "accepted", most), None


def notification(data):
    """(kind, fields) of the relay's news; (None, {}) for an answer."""
    given = read_object(data)
    method, params = given.get("method"), given.get("params", {})
    if method is None:
        if "error" in given or given.get("result") is not True:
            raise MalformedMessageError("news were refused")
        return None, {}
    if not isinstance(method, str) or not isinstance(params, dict):
        raise MalformedMessageError("no notification")
    return method, params
