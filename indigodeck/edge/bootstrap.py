"""Reads a planner's configuration file: addresses, limits, cached endpoint list and settings."""

import json
import os
import pathlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ..assignment.seeded_random import seed_from
from ..errors import MalformedMessageError
from ..settings import DeploymentSettings, settings_from_object
from .codec import MessageCodec
from .json_fields import parse_address
from .messages import Address, EndpointList

MAX_FILE_BYTES = 16 << 20
MIN_DESCRIPTOR_LIMIT = 64
DEFAULT_DESCRIPTOR_LIMIT = 256


@dataclass(frozen=True, slots=True)
class PeerAddresses:
    """The addresses on which planners exchange datagrams; `peers` is indexed by planner number."""

    listen: Address
    peers: tuple[Address, ...]
    broadcast: Address | None


@dataclass(frozen=True, slots=True)
class Bootstrap:
    """What a planner needs to start: addresses, limits and settings.

    `cached_list` is the last known endpoint list; `descriptor_limit` is how many file descriptors
    the planner may have open.
    """

    path: pathlib.Path
    name: str
    listen: Address
    discovery: Address
    relay: Address
    settings: DeploymentSettings
    codec: MessageCodec
    seed: int
    cached_list: EndpointList | None
    descriptor_limit: int
    peers: PeerAddresses | None


def read_bootstrap(path: str | os.PathLike[str]) -> Bootstrap:
    """Read a configuration file.

    The variables EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY replace keys that the file lacks.

    Raises
    ------
    MalformedMessageError
        If it is not valid JSON, or a key in it is missing or invalid.
    OSError
        If the file can't be read.
    """
    return _Reader(pathlib.Path(path)).read()


class _Reader:
    """Reads one file; its own error messages begin with the path and name the key."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path

    def read(self) -> Bootstrap:
        document = self._read_file()
        listen = self._address(document, "listen", "EDGE_LISTEN")
        discovery = self._address(document, "discovery", "EDGE_DISCOVERY")
        relay = self._address(self._section(document, "registry"), "address")
        settings = settings_from_object(document.get("settings"))
        codec = MessageCodec(settings)
        return Bootstrap(
            path=self._path,
            name=str(document.get("name", os.environ.get("EDGE_NAME", ""))),
            listen=listen,
            discovery=discovery,
            relay=relay,
            settings=settings,
            codec=codec,
            seed=seed_from(str(document.get("seed", "")), []),
            cached_list=self._cached_list(document, codec),
            descriptor_limit=self._descriptor_limit(document),
            peers=self._peers(document) if settings.peer_messages_allowed else None,
        )

    def _read_file(self) -> dict[str, Any]:
        with self._path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        try:
            document = json.loads(data) if len(data) <= MAX_FILE_BYTES else None
        except (ValueError, RecursionError) as error:
            raise MalformedMessageError(f"{self._path}: not valid JSON: {error}") from error
        if not isinstance(document, dict):
            raise MalformedMessageError(
                f"{self._path}: not a JSON object of at most {MAX_FILE_BYTES} bytes"
            )
        return document

    def _cached_list(self, document: Mapping[str, Any], codec: MessageCodec) -> EndpointList | None:
        if not document.get("known"):
            return None
        return codec.read_endpoint_list(self._section(document, "known"))

    def _descriptor_limit(self, document: Mapping[str, Any]) -> int:
        limit = self._section(document, "limits").get("sockets")
        return (
            max(MIN_DESCRIPTOR_LIMIT, limit) if isinstance(limit, int) else DEFAULT_DESCRIPTOR_LIMIT
        )

    def _peers(self, document: Mapping[str, Any]) -> PeerAddresses | None:
        if not document.get("peer_listen"):
            return None
        return PeerAddresses(
            listen=self._address(document, "peer_listen"),
            peers=tuple(parse_address(text) for text in document.get("peers") or []),
            broadcast=self._address(document, "peers_all") if document.get("peers_all") else None,
        )

    def _section(self, document: Mapping[str, Any], name: str) -> dict[str, Any]:
        section = document.get(name)
        if not isinstance(section, dict):
            raise MalformedMessageError(f"{self._path}: {name} must be an object")
        return section

    def _address(self, document: Mapping[str, Any], name: str, variable: str = "") -> Address:
        try:
            return parse_address(document.get(name) or os.environ.get(variable))
        except MalformedMessageError as error:
            raise MalformedMessageError(f"{self._path}: {name}: {error}") from error
