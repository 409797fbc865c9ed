"""Parsing of controllers' addresses."""

from typing import NamedTuple


class Address(NamedTuple):
    """The host and port on which a controller listens."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Parse an address of the form "HOST:PORT"."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
