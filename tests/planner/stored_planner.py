"""Planners with a store, their restart and connected clients, for tests over sockets."""

import asyncio
import contextlib
import json
import pathlib
import unittest
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

from support import Planner, host_numbers, until

from indigodeck.client import Tables

CLIENT_STOP_SECONDS = 3


def stored_planner() -> Planner:
    """Return a planner with a store, not started yet."""
    planner = Planner()
    planner.document["store"] = {"folder": "store"}
    return planner


class ClosedService:
    """A stand-in for the service of a planner that is closed already."""

    def close(self) -> None:
        """Do nothing."""


@contextlib.asynccontextmanager
async def restarted(planner: Planner) -> AsyncIterator[None]:
    """Restart a planner, whose service was closed, in the same folder."""
    await planner.__aenter__()
    try:
        yield
    finally:
        planner.service.close()
        planner.service = ClosedService()


class ConnectedClient(NamedTuple):
    """A running client, with its tables and its task."""

    tables: Tables
    client: Any
    task: asyncio.Task

    def host_numbers(self) -> set[int]:
        """Return the numbers of the hosts in the table of the class `reading`."""
        return host_numbers(self.tables)

    async def until_hosts(self, numbers: set[int]) -> None:
        """Wait until the table holds exactly these hosts."""
        await until(lambda: self.host_numbers() == numbers)

    async def until_without(self, *numbers: int) -> None:
        """Wait until the table holds none of these hosts."""
        await until(lambda: not self.host_numbers() & set(numbers))


@contextlib.asynccontextmanager
async def connected_client(planner: Planner) -> AsyncIterator[ConnectedClient]:
    """Connect a client, wait for its first table, and stop it at the end."""
    connected = ConnectedClient(*planner.client())
    await until(connected.host_numbers)
    yield connected
    connected.client.stop()
    await asyncio.wait([connected.task], timeout=CLIENT_STOP_SECONDS)


def folder_of(planner: Planner) -> pathlib.Path:
    """Return the planner's folder."""
    return pathlib.Path(planner.folder.name)


class StoredPlannerCase(unittest.IsolatedAsyncioTestCase):
    """Base class of tests with one planner that has a store."""

    async def asyncSetUp(self) -> None:
        """Create the planner without starting it."""
        self.planner = stored_planner()


def document_copy(planner: Planner) -> dict[str, Any]:
    """Return a copy of the planner's settings document that can be modified."""
    return json.loads(json.dumps(planner.document))
