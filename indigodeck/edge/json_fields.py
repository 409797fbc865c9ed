"""Checked reading of JSON objects that anybody may have written: each field is what it must be."""

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
    """Return compact JSON."""
    return _ENCODER.encode(value).encode()


def read_object(data: bytes) -> dict[str, Any]:
    """Read one JSON object from bytes, whatever these are.

    Raises
    ------
    MalformedMessageError
        If they are no JSON object; NaN and infinities count as no JSON.
    """
    try:
        value = json.loads(str(data, "utf-8"), parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:  # a deep nesting must not end the program
        raise MalformedMessageError(f"no JSON: {type(error).__name__}") from error
    if not isinstance(value, dict):
        raise MalformedMessageError("no JSON object")
    return value


def read_field(fields: Mapping[str, Any], name: str) -> Any:
    """Return a field that must be there."""
    try:
        return fields[name]
    except KeyError:
        raise MalformedMessageError(f"{name} is missing") from None


def read_number(fields: Mapping[str, Any], name: str, most: float, least: float = 0) -> Any:
    """Return a number from `least` to `most`.

    Truth values count as numbers in Python, and not here; NaN and infinities lie outside every
    range.
    """
    value = read_field(fields, name)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not least <= value <= most:
        raise MalformedMessageError(f"{name} is no number from {least} to {most}")
    return value


def read_count(fields: Mapping[str, Any], name: str, most: int, least: int = 0) -> int:
    """Return a whole number from `least` to `most`."""
    value = read_number(fields, name, most, least)
    if value != int(value):
        raise MalformedMessageError(f"{name} is no whole number")
    return int(value)


def read_name(fields: Mapping[str, Any], name: str) -> str:
    """Return an id: a text that is neither empty nor too long."""
    value = read_field(fields, name)
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_CHARACTERS:
        raise MalformedMessageError(f"{name} is no name")
    return value


def read_flag(fields: Mapping[str, Any], name: str) -> bool:
    """Return true or false."""
    value = read_field(fields, name)
    if not isinstance(value, bool):
        raise MalformedMessageError(f"{name} is neither true nor false")
    return value


def read_choice(fields: Mapping[str, Any], name: str, choices: Mapping[str, Named]) -> Named:
    """Return what `choices` has for the name in a field."""
    value = read_field(fields, name)
    if not isinstance(value, str) or value not in choices:
        raise MalformedMessageError(f"{name} names nothing that exists")
    return choices[value]


def parse_address(text: Any) -> Address:
    """Read "ADDRESS:PORT", where an IPv6 address may stand in brackets."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    is_port = port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
    if not (colon and host and is_port):
        raise MalformedMessageError("no ADDRESS:PORT")
    return Address(host.strip("[]"), int(port))


def _reject_constant(text: str) -> None:
    raise ValueError(f"{text} is no number")
