"""What can go wrong in playing a scenario. It then proves nothing about the planner."""

from ..errors import IndigodeckError


class TestbedError(IndigodeckError):
    """Base class of the errors of the testbed."""


class CommandFailedError(TestbedError):
    """A process of hosts or relays could not execute a command, or has ended."""


class PlannerNotStartedError(TestbedError):
    """A planner did not listen, or no controller became leader, in time."""
