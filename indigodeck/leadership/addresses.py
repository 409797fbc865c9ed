"""Where a controller listens."""

from typing import NamedTuple


class Address(NamedTuple):
    """Where a controller listens."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Return the address that is written as "HOST:PORT"."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
