"""The configuration file that places a planner: addresses, limits, the last list and settings."""

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
MIN_DESCRIPTORS = 64
DEFAULT_DESCRIPTORS = 256


@dataclass(frozen=True, slots=True)
class PeerAddresses:
    """Where planners exchange datagrams; `peers` are in the order of the planners' numbers."""

    listen: Address
    peers: tuple[Address, ...]
    broadcast: Address | None


@dataclass(frozen=True, slots=True)
class Bootstrap:
    """What a planner must know to start: addresses, limits and settings.

    `cached_list` is the last known endpoint list; `descriptors` is how many the planner may hold.
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
    descriptors: int
    peers: PeerAddresses | None


def read_bootstrap(path: str | os.PathLike[str]) -> Bootstrap:
    """Read a configuration file; EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY stand in for its keys.

    Raises
    ------
    MalformedMessageError
        If it is no JSON, or something in it can't be used; the message names the file and the key.
    OSError
        If there is no file to read.
    """
    return _Reader(pathlib.Path(path)).read()


class _Reader:
    """Reads one file; its errors name the file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path

    def read(self) -> Bootstrap:
        given = self._read_file()
        listen = self._address(given, "listen", "EDGE_LISTEN")
        discovery = self._address(given, "discovery", "EDGE_DISCOVERY")
        relay = self._address(self._section(given, "registry"), "address")
        settings = settings_from_object(given.get("settings"))
        codec = MessageCodec(settings)
        return Bootstrap(
            path=self._path,
            name=str(given.get("name", os.environ.get("EDGE_NAME", ""))),
            listen=listen,
            discovery=discovery,
            relay=relay,
            settings=settings,
            codec=codec,
            seed=seed_from(str(given.get("seed", "")), []),
            cached_list=self._cached_list(given, codec),
            descriptors=self._descriptors(given),
            peers=self._peers(given) if settings.peer_messages_allowed else None,
        )

    def _read_file(self) -> dict[str, Any]:
        with self._path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        try:
            given = json.loads(data) if len(data) <= MAX_FILE_BYTES else None
        except (ValueError, RecursionError) as error:
            raise MalformedMessageError(f"{self._path}: no JSON: {error}") from error
        if not isinstance(given, dict):
            raise MalformedMessageError(f"{self._path}: no JSON object")
        return given

    def _cached_list(self, given: Mapping[str, Any], codec: MessageCodec) -> EndpointList | None:
        if not given.get("known"):
            return None
        return codec.read_endpoint_list(self._section(given, "known"))

    def _descriptors(self, given: Mapping[str, Any]) -> int:
        stated = self._section(given, "limits").get("sockets")
        return max(MIN_DESCRIPTORS, stated) if isinstance(stated, int) else DEFAULT_DESCRIPTORS

    def _peers(self, given: Mapping[str, Any]) -> PeerAddresses | None:
        if not given.get("peer_listen"):
            return None
        return PeerAddresses(
            listen=self._address(given, "peer_listen"),
            peers=tuple(parse_address(text) for text in given.get("peers") or []),
            broadcast=self._address(given, "peers_all") if given.get("peers_all") else None,
        )

    def _section(self, given: Mapping[str, Any], name: str) -> dict[str, Any]:
        found = given.get(name)
        if not isinstance(found, dict):
            raise MalformedMessageError(f"{self._path}: {name} is no object")
        return found

    def _address(self, given: Mapping[str, Any], name: str, variable: str = "") -> Address:
        try:
            return parse_address(given.get(name) or os.environ.get(variable))
        except MalformedMessageError as error:
            raise MalformedMessageError(f"{self._path}: {name}: {error}") from error
