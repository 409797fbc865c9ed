"""Reads JSON objects from untrusted senders, and validates the type and range of each field."""

import json
from collections.abc import Mapping
from typing import Any, TypeVar

from ..errors import MalformedMessageError
from .messages import Address

MAX_NAME_CHARACTERS = 256
MAX_PORT = 65535

Named = TypeVar("Named")

_ENCODER = json.JSONEncoder(separators=(",", ":"))


def pack(value: Any) -> bytes:
    """Encode a value as compact JSON."""
    return _ENCODER.encode(value).encode()


def read_object(data: bytes) -> dict[str, Any]:
    """Parse one JSON object from arbitrary bytes.

    Raises
    ------
    MalformedMessageError
        If they are not a JSON object; NaN and infinities are not valid JSON here.
    """
    try:
        value = json.loads(str(data, "utf-8"), parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:  # RecursionError: nested too deeply
        raise MalformedMessageError(f"not valid JSON: {type(error).__name__}") from error
    if not isinstance(value, dict):
        raise MalformedMessageError("not a JSON object")
    return value


def read_field(fields: Mapping[str, Any], name: str) -> Any:
    """Return a required field."""
    try:
        return fields[name]
    except KeyError:
        raise MalformedMessageError(f"{name} is missing") from None


def read_number(fields: Mapping[str, Any], name: str, maximum: float, minimum: float = 0) -> Any:
    """Return a number from `minimum` to `maximum`.

    Booleans are rejected, although they are numbers in Python. NaN and infinities are outside
    every range.
    """
    value = read_field(fields, name)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not minimum <= value <= maximum:
        raise MalformedMessageError(f"{name} must be a number from {minimum} to {maximum}")
    return value


def read_count(fields: Mapping[str, Any], name: str, maximum: int, minimum: int = 0) -> int:
    """Return a whole number from `minimum` to `maximum`."""
    value = read_number(fields, name, maximum, minimum)
    if value != int(value):
        raise MalformedMessageError(f"{name} must be a whole number")
    return int(value)


def read_name(fields: Mapping[str, Any], name: str) -> str:
    """Return an id: a string of 1 to `MAX_NAME_CHARACTERS` characters."""
    value = read_field(fields, name)
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_CHARACTERS:
        raise MalformedMessageError(
            f"{name} must be a string of 1 to {MAX_NAME_CHARACTERS} characters"
        )
    return value


def read_flag(fields: Mapping[str, Any], name: str) -> bool:
    """Return a boolean."""
    value = read_field(fields, name)
    if not isinstance(value, bool):
        raise MalformedMessageError(f"{name} must be true or false")
    return value


def read_choice(fields: Mapping[str, Any], name: str, choices: Mapping[str, Named]) -> Named:
    """Return the entry of `choices` that a field names."""
    value = read_field(fields, name)
    if not isinstance(value, str) or value not in choices:
        raise MalformedMessageError(f"{name} is not one of the known names")
    return choices[value]


def parse_address(text: Any) -> Address:
    """Parse "ADDRESS:PORT"; an IPv6 address may be in brackets."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    is_port = port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
    if not (colon and host and is_port):
        raise MalformedMessageError("must be ADDRESS:PORT")
    return Address(host.strip("[]"), int(port))


def _reject_constant(text: str) -> None:
    raise ValueError(f"{text} is not valid JSON")
