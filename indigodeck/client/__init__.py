"""For relays: tables by class, kept up to date by a planner, whichever protocol it speaks.

`Tables` holds what a relay goes by and picks from it; `sasp.SaspClient` keeps one up to date over SASP.
"""

from .tables import ClientError, Malfunction, NoServerError, RejectedError, Tables, Unreachable

__all__ = ["ClientError", "Malfunction", "NoServerError", "RejectedError", "Tables", "Unreachable"]
