"""Wire format of the messages between controllers: bounded, versioned and authenticated.

Three versions of the protocol are supported, so that a fleet can be upgraded one controller at a
time. Version 1 has no membership changes, so its membership number is always 0; version 2 has no
versions of tables. A message that a peer's version cannot express is not sent to that peer.

A message consists of a length (4 bytes), a message authentication code (32 bytes, HMAC-SHA256 of
the body with the fleet's shared key) and a JSON body. A message that is too long, not
authenticated, of an unsupported version, from an unknown source or malformed is rejected as a whole
with a reason. The names of kinds and fields on the wire are defined here, the checks of the fields'
values in `message_checks`.
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
MAC_BYTES = 32


class MessageRejectedError(RejectedError):
    """A message is rejected; the text says why."""


# Names on the wire. `epochs` is {relay group: [epoch, holder]}, in version 1 {relay group: epoch}.

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
}  # of fields that have another name in this program
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
}  # encoded and decoded by versions/replication_messages.py
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
# Values of the fields that version 1 omits.
_VERSION_1_DEFAULTS = {"number": 0, "members": None, "plan": None, "holder": ""}


def to_wire(message: messages.Message) -> tuple[str, dict[str, Any]]:
    """Return the kind and the fields on the wire of a message."""
    if isinstance(message, messages.ReplicationMessage):
        return message.kind, message.fields
    fields = {
        _WIRE_NAMES.get(field.name, field.name): getattr(message, field.name)
        for field in dataclasses.fields(message)
    }
    return _KINDS_BY_TYPE[type(message)], fields


def from_wire(kind: str, fields: dict[str, Any]) -> messages.Message:
    """Return the message of this kind and with these fields, which `unpack` has checked."""
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
    """Return the answer to an operator's query for the status of members and leases."""
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


class PeerVersionTracker:
    """The protocol version to use with one peer: the newest, unless the peer used an older one.

    The version never decreases while the peer keeps the same connection: an upgraded peer may still
    read messages that were sent to its older predecessor, and reply in their version. That must not
    keep both controllers at the older version.
    """

    def __init__(self, newest: int = NEWEST_VERSION) -> None:
        self._newest = newest
        self._connection: object = None
        self.version = newest

    def on_message(self, connection: object, version: int) -> None:
        """Record the version of a message that the peer sent on this connection."""
        if connection != self._connection:
            self._connection = connection
            self.version = min(version, self._newest)
        else:
            self.version = min(max(version, self.version), self._newest)


def can_encode(kind: str, version: int, fields: dict[str, Any]) -> bool:
    """Return whether a message can be expressed in this version."""
    return kind in FIELDS_BY_VERSION[version] and (version > 1 or not fields.get("number"))


def encodable_versions(kind: str, fields: dict[str, Any]) -> list[int]:
    """Return the versions in which a message can be expressed, newest first."""
    return [version for version in reversed(VERSIONS) if can_encode(kind, version, fields)]


def pack(key: bytes, source: str, kind: str, version: int = NEWEST_VERSION, **fields: Any) -> bytes:
    """Return a message as bytes, with its length and authentication code.

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
        raise LimitExceededError(
            f"message body of {len(body)} bytes exceeds the limit of {MAX_BODY_BYTES}"
        )
    return len(body).to_bytes(LENGTH_BYTES, "big") + _mac(key, body) + body


def _mac(key: bytes, body: bytes) -> bytes:
    return hmac.digest(key, body, hashlib.sha256)


def remaining_bytes(length_field: bytes) -> int:
    """Return how many bytes follow the length field: the authentication code and the body.

    Raises
    ------
    MessageRejectedError
        If the body would be too short for JSON or longer than `MAX_BODY_BYTES`.
    """
    size = int.from_bytes(length_field, "big")
    if not 2 <= size <= MAX_BODY_BYTES:
        raise MessageRejectedError(
            f"message body of {size} bytes; 2 to {MAX_BODY_BYTES} are allowed"
        )
    return MAC_BYTES + size


class ReceivedMessage(NamedTuple):
    """A message that was unpacked and validated."""

    source: str
    version: int
    kind: str
    fields: dict[str, Any]


def unpack(key: bytes, data: bytes, is_known: Callable[[str], bool]) -> ReceivedMessage:
    """Return the message in the bytes after the length field.

    `is_known(name)` tells whether messages from this source are accepted.

    Raises
    ------
    MessageRejectedError
        If it is not authenticated with the key, from an unknown source, of an unsupported version
        or malformed.
    """
    mac = data[:MAC_BYTES]
    body = data[MAC_BYTES:]
    if not hmac.compare_digest(mac, _mac(key, body)):
        raise MessageRejectedError("not authenticated with the key of this fleet")
    try:
        fields = json.loads(body)
        version = fields.pop("version")
        source = fields.pop("from")
        kind = fields.pop("kind")
    except (ValueError, KeyError, AttributeError, TypeError) as error:
        raise MessageRejectedError(f"body is not a message: {error}") from error
    if isinstance(version, bool) or version not in VERSIONS:
        supported = ", ".join(map(str, VERSIONS))
        raise MessageRejectedError(f"version {version}; supported versions are {supported}")
    if not isinstance(source, str) or not is_known(source):
        raise MessageRejectedError(f"{source!r} is not a controller of this fleet")
    known_fields = FIELDS_BY_VERSION[version].get(kind) if isinstance(kind, str) else None
    if known_fields is None or fields.keys() != known_fields:
        raise MessageRejectedError(f"unknown kind or wrong fields: {kind!r} with {sorted(fields)}")
    if version == 1:
        _fill_version_1_fields(kind, fields)
    _check_fields(kind, fields)
    if kind not in REPLICATION_KINDS and fields.get("plan") is not None:
        fields["plan"] = tuple(fields["plan"])
    return ReceivedMessage(source, version, kind, fields)


def _fill_version_1_fields(kind: str, fields: dict[str, Any]) -> None:
    added = _FIELDS_ADDED_IN_VERSION_2.get(kind, set())
    fields.update({name: _VERSION_1_DEFAULTS[name] for name in added})
    if isinstance(fields.get("epochs"), dict):
        fields["epochs"] = {group: [epoch, None] for group, epoch in fields["epochs"].items()}


def _check_fields(kind: str, fields: dict[str, Any]) -> None:
    checks = REPLICATION_CHECKS if kind in REPLICATION_KINDS else ELECTION_CHECKS
    for name, value in fields.items():
        check = checks.get(name)
        if check is not None and not check.is_valid(value):
            reason = check.error_template.format(kind=kind, name=name, value=value)
            raise MessageRejectedError(reason)
