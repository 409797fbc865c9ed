"""Messages between controllers as bytes: bounded, versioned and sealed.

Three versions are spoken, so that a fleet may be upgraded one controller after the other. Version 1
knows no changes of members: its membership is always number 0; version 2 no versions of tables.
What one version can't say is not said to who speaks it.

A message is a length (4 bytes), a seal (32 bytes, HMAC-SHA256 of the rest, with a key that all
share) and JSON. What is too long, not sealed by the key, of another version, from nobody known or
of the wrong shape is rejected with a reason, and nothing of it is used. The wire's names of kinds
and fields live here, and their shapes in `message_checks`.
"""

import dataclasses
import hashlib
import hmac
import json
from collections.abc import Callable
from typing import Any, NamedTuple

from ..errors import LimitExceededError, RejectedError
from . import messages
from .message_checks import ELECTION_CHECKS, REPLICATION_CHECKS
from .state import KnownEpoch, Proposal

VERSIONS = (1, 2, 3)
NEWEST_VERSION = VERSIONS[-1]
MAX_BODY_BYTES = 64 * 1024
LENGTH_BYTES = 4
SEAL_BYTES = 32


class MessageRejectedError(RejectedError):
    """A message that is not taken; says why."""


# The wire's names. `epochs` is {relay group: [epoch, holder]}, in version 1 {relay group: epoch}.

MESSAGE_TYPES: dict[str, type[Any]] = {
    "here": messages.Heartbeat,
    "greet": messages.RecoveryQuery,
    "tell": messages.RecoveryAnswer,
    "ask": messages.LeaseRequest,
    "grant": messages.LeaseGrant,
    "deny": messages.LeaseDenial,
    "release": messages.LeaseRelease,
    "propose": messages.ProposeMembers,
    "accept": messages.AcceptMembers,
    "members": messages.MembershipNotice,
    "refusals": messages.RejectionNotice,
    "fleet": messages.StatusQuery,
    "hand over": messages.TransferLeadership,
    "change": messages.ChangeMembers,
    "force": messages.ForceMembers,
    "followers": messages.ConnectedRelaysQuery,
    "versions": messages.VersionRequest,
    "answer": messages.Answer,
}
_KINDS_BY_TYPE = {message_type: kind for kind, message_type in MESSAGE_TYPES.items()}
_WIRE_NAMES = {
    "nonce": "hello",
    "relay_group": "ward",
    "membership_number": "number",
    "proposal": "plan",
    "highest_epoch": "highest",
    "retry_after": "wait",
    "rejections": "held",
    "request": "wish",
}  # of the fields that are named otherwise in this program
_FIELDS_OF_VERSION_1: dict[str, set[str]] = {
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
_FIELDS_ADDED_IN_VERSION_2: dict[str, set[str]] = {
    "greet": {"number"},
    "tell": {"number", "members", "plan"},
    "ask": {"number"},
    "grant": {"number", "plan"},
    "deny": {"number", "holder"},
}
_KINDS_ADDED_IN_VERSION_2: dict[str, set[str]] = {
    "here": {"number"},
    "propose": {"number", "epoch", "members"},
    "accept": {"number", "epoch", "epochs"},
    "members": {"number", "members", "epochs"},
    "refusals": {"held"},
    "change": {"members"},
    "force": {"members"},
    "followers": {"after"},
}
REPLICATION_KINDS: dict[str, set[str]] = {
    "book": {"newest", "content", "wishes"},
    "version": {"entry", "changes"},
    "wishes": {"wishes"},
    "ask wishes": set(),
    "noted": {"serial"},
    "want": {"number"},
    "sheets": {"number", "part", "of", "sheets", "about", "parent"},
}  # versions/replication_messages.py
_FIELDS_OF_VERSION_2 = {
    **{
        kind: fields | _FIELDS_ADDED_IN_VERSION_2.get(kind, set())
        for kind, fields in _FIELDS_OF_VERSION_1.items()
    },
    **_KINDS_ADDED_IN_VERSION_2,
}
FIELDS_BY_VERSION = {
    1: _FIELDS_OF_VERSION_1,
    2: _FIELDS_OF_VERSION_2,
    3: {**_FIELDS_OF_VERSION_2, **REPLICATION_KINDS, "versions": {"wish"}},
}
# What somebody of version 1 means by leaving these out.
_MEANT_BY_VERSION_1 = {"number": 0, "members": None, "plan": None, "holder": ""}


def to_wire(message: messages.Message) -> tuple[str, dict[str, Any]]:
    """Return the kind and the fields of a message on the wire."""
    if isinstance(message, messages.ReplicationMessage):
        return message.kind, message.fields
    fields = {
        _WIRE_NAMES.get(field.name, field.name): getattr(message, field.name)
        for field in dataclasses.fields(message)
    }
    return _KINDS_BY_TYPE[type(message)], fields


def from_wire(kind: str, fields: dict[str, Any]) -> messages.Message:
    """Return the message that a kind and its fields, checked by `unpack`, are on the wire."""
    if kind in REPLICATION_KINDS:
        return messages.ReplicationMessage(kind, fields)
    message_type = MESSAGE_TYPES[kind]
    values = {
        field.name: fields[_WIRE_NAMES.get(field.name, field.name)]
        for field in dataclasses.fields(message_type)
    }
    if "epochs" in values:
        values["epochs"] = {group: KnownEpoch(*known) for group, known in values["epochs"].items()}
    if values.get("proposal"):
        values["proposal"] = Proposal(*values["proposal"])
    return message_type(**values)


def status_document(status: messages.Status) -> dict[str, Any]:
    """Return what an operator is answered of members and leases."""
    return {
        "me": status.me,
        "settled": status.may_grant,
        "number": status.membership_number,
        "under_way": status.change_pending,
        "members": {
            name: {
                "place": member.address,
                "state": member.liveness,
                "heard": member.heard_ago,
                "number": member.membership_number,
                "speaks": member.message_version,
            }
            for name, member in status.members.items()
        },
        "wards": {
            group: {
                "epoch": lease.epoch,
                "granted_to": lease.granted_to,
                "granted_for": lease.granted_for,
                "held": lease.leading_epoch,
                "followers": lease.followers,
            }
            for group, lease in status.leases.items()
        },
    }


class SpokenVersion:
    """The version to speak to one member: the newest, unless it was heard to speak an older one.

    On one connection of its own it never gets older again: what an earlier program sent last must
    not hold back the one that replaced it.
    """

    def __init__(self, newest: int = NEWEST_VERSION) -> None:
        self._newest = newest
        self._connection: object = None
        self.version = newest

    def on_message(self, connection: object, version: int) -> None:
        """Note in which version the member spoke on a connection of its own."""
        if connection != self._connection:
            self._connection = connection
            self.version = min(version, self._newest)
        else:
            self.version = min(max(version, self.version), self._newest)


def can_say(kind: str, version: int, fields: dict[str, Any]) -> bool:
    """Return whether somebody of this version can be told so."""
    return kind in FIELDS_BY_VERSION[version] and (version > 1 or not fields.get("number"))


def versions_that_can_say(kind: str, fields: dict[str, Any]) -> list[int]:
    """Return the versions that this can be said in, the newest first."""
    return [version for version in reversed(VERSIONS) if can_say(kind, version, fields)]


def pack(key: bytes, source: str, kind: str, version: int = NEWEST_VERSION, **fields: Any) -> bytes:
    """Return a message's bytes, its length and seal among them.

    Raises
    ------
    LimitExceededError
        If the body is longer than `MAX_BODY_BYTES`.
    """
    if version == 1:
        fields = {
            name: value for name, value in fields.items() if name in _FIELDS_OF_VERSION_1[kind]
        }
        if "epochs" in fields:
            fields["epochs"] = {group: known[0] for group, known in fields["epochs"].items()}
    body = json.dumps(
        {"version": version, "from": source, "kind": kind, **fields}, sort_keys=True
    ).encode()
    if len(body) > MAX_BODY_BYTES:
        raise LimitExceededError(f"a message of {len(body)} bytes, {MAX_BODY_BYTES} at most")
    return len(body).to_bytes(LENGTH_BYTES, "big") + _seal(key, body) + body


def _seal(key: bytes, body: bytes) -> bytes:
    return hmac.digest(key, body, hashlib.sha256)


def remaining_bytes(head: bytes) -> int:
    """Return how many bytes follow the length: the seal and the body.

    Raises
    ------
    MessageRejectedError
        If the body would be too short for JSON or longer than `MAX_BODY_BYTES`.
    """
    size = int.from_bytes(head, "big")
    if not 2 <= size <= MAX_BODY_BYTES:
        raise MessageRejectedError(f"a message of {size} bytes, {MAX_BODY_BYTES} at most")
    return SEAL_BYTES + size


class Received(NamedTuple):
    """A message that was unpacked and found valid."""

    source: str
    version: int
    kind: str
    fields: dict[str, Any]


def unpack(key: bytes, data: bytes, is_known: Callable[[str], bool]) -> Received:
    """Return the message in what follows the length; `is_known(name)`: whether somebody may speak.

    Raises
    ------
    MessageRejectedError
        If it is not sealed by the key, from nobody known, or of the wrong version or shape.
    """
    seal = data[:SEAL_BYTES]
    body = data[SEAL_BYTES:]
    if not hmac.compare_digest(seal, _seal(key, body)):
        raise MessageRejectedError("not sealed with the key of this fleet")
    try:
        given = json.loads(body)
        version = given.pop("version")
        source = given.pop("from")
        kind = given.pop("kind")
    except (ValueError, KeyError, AttributeError, TypeError) as error:
        raise MessageRejectedError(f"no message: {error}") from error
    if isinstance(version, bool) or version not in VERSIONS:
        spoken = ", ".join(map(str, VERSIONS))
        raise MessageRejectedError(f"version {version}; spoken here are {spoken}")
    if not isinstance(source, str) or not is_known(source):
        raise MessageRejectedError(f"{source!r} is none of this fleet")
    known_fields = FIELDS_BY_VERSION[version].get(kind) if isinstance(kind, str) else None
    if known_fields is None or given.keys() != known_fields:
        raise MessageRejectedError(f"{kind!r} with fields {sorted(given)}")
    if version == 1:
        _complete_version_1(kind, given)
    _check_fields(kind, given)
    if kind not in REPLICATION_KINDS and given.get("plan") is not None:
        given["plan"] = tuple(given["plan"])
    return Received(source, version, kind, given)


def _complete_version_1(kind: str, given: dict[str, Any]) -> None:
    added = _FIELDS_ADDED_IN_VERSION_2.get(kind, set())
    given.update({name: _MEANT_BY_VERSION_1[name] for name in added})
    if isinstance(given.get("epochs"), dict):
        given["epochs"] = {group: [epoch, None] for group, epoch in given["epochs"].items()}


def _check_fields(kind: str, given: dict[str, Any]) -> None:
    checks = REPLICATION_CHECKS if kind in REPLICATION_KINDS else ELECTION_CHECKS
    for name, value in given.items():
        check = checks.get(name)
        if check is not None and not check.is_valid(value):
            reason = check.complaint.format(kind=kind, name=name, value=value)
            raise MessageRejectedError(reason)
