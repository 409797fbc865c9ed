"""Messages between controllers as bytes: bounded, versioned, and sealed with a key that all of them share.

A message is a length (4 bytes), a seal (32 bytes, HMAC-SHA256 of the rest) and JSON. What is too long, not sealed by the
key, of another version, from nobody known or of the wrong shape is refused with a reason, and nothing of it is used.
"""
import hashlib
import hmac
import json

VERSION = 1
LONGEST = 16 * 1024
HEAD, SEAL = 4, 32
INTEGERS = {"hello", "epoch", "round", "serial", "highest", "wait"}
# The fields that each kind has; `epochs` is {ward: epoch}.
KINDS = {"greet": {"hello"}, "tell": {"hello", "epochs", "serial"}, "ask": {"ward", "epoch", "round", "serial"},
         "grant": {"ward", "epoch", "round", "serial"}, "deny": {"ward", "epoch", "round", "highest", "wait"},
         "release": {"ward", "epoch"}, "fleet": set(), "hand over": {"ward"}, "answer": {"said"}}


class Refused(Exception):
    """A message that is not taken; says why."""


def pack(key, source, kind, **fields):
    body = json.dumps({"version": VERSION, "from": source, "kind": kind, **fields}, sort_keys=True).encode()
    if len(body) > LONGEST:
        raise ValueError(f"a message of {len(body)} bytes, {LONGEST} at most")
    return len(body).to_bytes(HEAD, "big") + hmac.digest(key, body, hashlib.sha256) + body


def length(head):
    """Bytes that follow the length: the seal and the body."""
    size = int.from_bytes(head, "big")
    if not 2 <= size <= LONGEST:
        raise Refused(f"a message of {size} bytes, {LONGEST} at most")
    return SEAL + size


def unpack(key, data, known):
    """(source, kind, fields) of what follows the length. `known(name)`: whether somebody may speak."""
    seal, body = data[:SEAL], data[SEAL:]
    if not hmac.compare_digest(seal, hmac.digest(key, body, hashlib.sha256)):
        raise Refused("not sealed with the key of this fleet")
    try:
        given = json.loads(body)
        version, source, kind = given.pop("version"), given.pop("from"), given.pop("kind")
    except (ValueError, KeyError, AttributeError, TypeError) as error:
        raise Refused(f"no message: {error}") from error
    if version != VERSION:
        raise Refused(f"version {version}, {VERSION} is spoken here")
    if not isinstance(source, str) or not known(source):
        raise Refused(f"{source!r} is none of this fleet")
    if kind not in KINDS or given.keys() != KINDS[kind]:
        raise Refused(f"{kind!r} with fields {sorted(given)}")
    for name, value in given.items():
        if name in INTEGERS and (isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < 1 << 62):
            raise Refused(f"{name} is {value!r}")
        if name == "ward" and not isinstance(value, str):
            raise Refused(f"ward is {value!r}")
        if name == "epochs" and not (isinstance(value, dict) and all(
                isinstance(epoch, int) and 0 <= epoch < 1 << 62 for epoch in value.values())):
            raise Refused("epochs are not numbers by ward")
    return source, kind, given
