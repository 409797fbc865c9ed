"""Errors that stop a scenario. A scenario that stops early says nothing about the planner."""

from ..errors import IndigodeckError


class TestbedError(IndigodeckError):
    """Base class of the errors of the testbed."""


class CommandFailedError(TestbedError):
    """A process that runs hosts or relays failed to execute a command, or has ended."""


class PlannerNotStartedError(TestbedError):
    """The planner did not listen in time, or no controller became the leader in time."""
