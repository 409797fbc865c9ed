"""Messages between controllers as bytes: bounded, versioned, and sealed with a key that all of them share.

Three versions are spoken, so that a fleet may be upgraded one controller after the other. Version 1 knows no changes of
members: its fleet is always number 0; version 2 no versions of tables. What one can't say is not said to who speaks it.

A message is a length (4 bytes), a seal (32 bytes, HMAC-SHA256 of the rest) and JSON. What is too long, not sealed by the
key, of another version, from nobody known or of the wrong shape is refused with a reason, and nothing of it is used.
"""

import hashlib
import hmac
import json

from .election import MEMBERS_MOST

VERSIONS = (1, 2, 3)
NEWEST = VERSIONS[-1]
LONGEST = 64 * 1024
HEAD, SEAL = 4, 32
INTEGERS = {"hello", "epoch", "round", "serial", "highest", "wait", "number"}
# The fields that each kind has; `epochs` is {ward: [epoch, holder]}, in version 1 {ward: epoch}.
OLD = {
    "greet": {"hello"},
    "tell": {"hello", "epochs", "serial"},
    "ask": {"ward", "epoch", "round", "serial"},
    "grant": {"ward", "epoch", "round", "serial"},
    "deny": {"ward", "epoch", "round", "highest", "wait"},
    "release": {"ward", "epoch"},
    "fleet": set(),
    "hand over": {"ward"},
    "answer": {"said"},
}
ADDED = {
    "greet": {"number"},
    "tell": {"number", "members", "plan"},
    "ask": {"number"},
    "grant": {"number", "plan"},
    "deny": {"number", "holder"},
}
NEW = {
    "here": {"number"},
    "propose": {"number", "epoch", "members"},
    "accept": {"number", "epoch", "epochs"},
    "members": {"number", "members", "epochs"},
    "refusals": {"held"},
    "change": {"members"},
    "force": {"members"},
    "followers": {"after"},
}
# Versions and operator requests (versions/replication_messages.py).
COPIED = {
    "book": {"newest", "content", "wishes"},
    "version": {"entry", "changes"},
    "wishes": {"wishes"},
    "ask wishes": set(),
    "noted": {"serial"},
    "want": {"number"},
    "sheets": {"number", "part", "of", "sheets", "about", "parent"},
}
SECOND = {**{kind: fields | ADDED.get(kind, set()) for kind, fields in OLD.items()}, **NEW}
KINDS = {1: OLD, 2: SECOND, 3: {**SECOND, **COPIED, "versions": {"wish"}}}
# What somebody of version 1 means by leaving these out.
MEANT = {"number": 0, "members": None, "plan": None, "holder": ""}


class RejectedError(Exception):
    """A message that is not taken; says why."""


class Speech:
    """The version to speak to one member: the newest, unless it was heard to speak an older one. On one connection of
    its own it never gets older again: what an earlier program sent last must not hold back the one that replaced it.
    """

    def __init__(self, newest=NEWEST):
        self.newest = self.version = newest
        self.connection = None

    def heard(self, connection, version):
        if connection != self.connection:
            self.connection, self.version = connection, min(version, self.newest)
        else:
            self.version = min(max(version, self.version), self.newest)


def sayable(kind, version, fields):
    """Whether somebody of this version can be told so."""
    return kind in KINDS[version] and (version >= 2 or not fields.get("number"))


def versions_of(kind, fields):
    """The versions that this can be said in, the newest first."""
    return [version for version in reversed(VERSIONS) if sayable(kind, version, fields)]


def pack(key, source, kind, version=NEWEST, **fields):
    if version == 1:
        fields = {name: value for name, value in fields.items() if name in OLD[kind]}
        if "epochs" in fields:
            fields["epochs"] = {ward: known[0] for ward, known in fields["epochs"].items()}
    body = json.dumps(
        {"version": version, "from": source, "kind": kind, **fields}, sort_keys=True
    ).encode()
    if len(body) > LONGEST:
        raise ValueError(f"a message of {len(body)} bytes, {LONGEST} at most")
    return len(body).to_bytes(HEAD, "big") + hmac.digest(key, body, hashlib.sha256) + body


def length(head):
    """Bytes that follow the length: the seal and the body."""
    size = int.from_bytes(head, "big")
    if not 2 <= size <= LONGEST:
        raise RejectedError(f"a message of {size} bytes, {LONGEST} at most")
    return SEAL + size


def unpack(key, data, known):
    """(source, version, kind, fields) of what follows the length. `known(name)`: whether somebody may speak."""
    seal, body = data[:SEAL], data[SEAL:]
    if not hmac.compare_digest(seal, hmac.digest(key, body, hashlib.sha256)):
        raise RejectedError("not sealed with the key of this fleet")
    try:
        given = json.loads(body)
        version, source, kind = given.pop("version"), given.pop("from"), given.pop("kind")
    except (ValueError, KeyError, AttributeError, TypeError) as error:
        raise RejectedError(f"no message: {error}") from error
    if isinstance(version, bool) or version not in VERSIONS:
        raise RejectedError(f"version {version}; spoken here are {', '.join(map(str, VERSIONS))}")
    if not isinstance(source, str) or not known(source):
        raise RejectedError(f"{source!r} is none of this fleet")
    if (
        not isinstance(kind, str)
        or kind not in KINDS[version]
        or given.keys() != KINDS[version][kind]
    ):
        raise RejectedError(f"{kind!r} with fields {sorted(given)}")
    if version == 1:
        given.update({name: MEANT[name] for name in ADDED.get(kind, ())})
        if isinstance(given.get("epochs"), dict):
            given["epochs"] = {ward: [epoch, None] for ward, epoch in given["epochs"].items()}
    if kind in COPIED:
        _check_copied(kind, given)
    else:
        _check(given)
    return source, version, kind, given


def _check(given):
    for name, value in given.items():
        if name in INTEGERS and (
            isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < 1 << 62
        ):
            raise RejectedError(f"{name} is {value!r}")
        if name in ("ward", "holder", "after") and not isinstance(value, str):
            raise RejectedError(f"{name} is {value!r}")
        if name == "epochs" and not (
            isinstance(value, dict) and all(_known(epoch) for epoch in value.values())
        ):
            raise RejectedError("epochs are not numbers by ward")
        if name == "members" and value is not None and not _members(value):
            raise RejectedError("members are not places by id")
        if name == "held" and not (
            isinstance(value, list)
            and all(
                isinstance(entry, list)
                and len(entry) == 3
                and all(isinstance(part, str) for part in entry)
                for entry in value
            )
        ):
            raise RejectedError("refusals are not relay, class and content")
        if name == "plan" and value is not None:
            if not (
                isinstance(value, list)
                and len(value) == 3
                and _number(value[0])
                and _number(value[1])
                and _members(value[2])
            ):
                raise RejectedError("a plan is not number, epoch and members")
            given["plan"] = tuple(value)


def _check_copied(kind, given):
    fine = {
        "newest": _maybe_pair,
        "parent": _maybe_pair,
        "content": lambda value: isinstance(value, str),
        "wishes": _wishes,
        "serial": _pair,
        "number": _pair,
        "part": _number,
        "of": _number,
        "sheets": _sheets,
        "about": lambda value: (
            isinstance(value, list) and [type(one) for one in value] == [int, str, str, str]
        ),
        "entry": _version,
        "changes": _changes,
    }
    for name, value in given.items():
        if not fine[name](value):
            raise RejectedError(f"{kind!r}: {name} is of no known shape")


def _pair(value):
    return isinstance(value, list) and len(value) == 2 and all(map(_number, value))


def _maybe_pair(value):
    return value is None or _pair(value)


def _wishes(value):
    return (
        isinstance(value, dict)
        and value.keys() == {"serial", "pins", "holds"}
        and _pair(value["serial"])
        and isinstance(value["pins"], list)
        and all(map(_pair, value["pins"]))
        and isinstance(value["holds"], dict)
        and all(
            isinstance(hold, list)
            and len(hold) == 5
            and _pair(hold[0])
            and isinstance(hold[1], str)
            and isinstance(hold[2], str)
            and _number(hold[3])
            and _pair(hold[4])
            for hold in value["holds"].values()
        )
    )


def _sheets(value):
    return isinstance(value, dict) and all(
        table.isdigit()
        and isinstance(sheet, dict)
        and sheet.keys() == {"class", "lines", "level"}
        and isinstance(sheet["class"], str)
        and isinstance(sheet["lines"], dict)
        and all(map(_weight, sheet["lines"].values()))
        and isinstance(sheet["level"], list)
        and len(sheet["level"]) == 2
        and all(map(_weight, sheet["level"]))
        for table, sheet in value.items()
    )


def _version(value):
    return (
        isinstance(value, dict)
        and value.keys() == {"number", "parent", "at", "cause", "author", "content"}
        and _pair(value["number"])
        and _maybe_pair(value["parent"])
        and _number(value["at"])
        and all(isinstance(value[name], str) for name in ("cause", "author", "content"))
    )


def _changes(value):
    """Sheets, or what differs of them: lines that are gone are None."""
    return isinstance(value, dict) and all(
        change is None
        or isinstance(change, dict)
        and change.keys() in ({"class", "lines", "level"}, {"of", "lines", "level"})
        and isinstance(change.get("class", change.get("of")), str)
        and isinstance(change["lines"], dict)
        and all(
            weight is None and "of" in change or _weight(weight)
            for weight in change["lines"].values()
        )
        and isinstance(change["level"], list)
        and len(change["level"]) == 2
        and all(map(_weight, change["level"]))
        for change in value.values()
    )


def _weight(value):
    return isinstance(value, (int, float)) and not isinstance(value, bool) and 0 <= value < 1e12


def _number(value):
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < 1 << 62


def _known(value):
    return (
        isinstance(value, list)
        and len(value) == 2
        and _number(value[0])
        and (value[1] is None or isinstance(value[1], str))
    )


def _members(value):
    return (
        isinstance(value, dict)
        and 1 <= len(value) <= MEMBERS_MOST
        and all(
            name and isinstance(place, str) and len(name) + len(place) <= 500
            for name, place in value.items()
        )
    )
