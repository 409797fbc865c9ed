"""For relays: tables by class, kept up to date by a planner, whichever protocol it speaks.

`Tables` holds what a relay goes by and picks from it; `sasp.SaspClient` keeps one up to date over SASP.
"""

from .tables import ClientError, Malfunction, NoServer, Refused, Tables, Unreachable

__all__ = ["ClientError", "Malfunction", "NoServer", "Refused", "Tables", "Unreachable"]
