"""Client library for proxies: traffic tables by class, kept up to date by a planner.

`Tables` holds the tables and picks a server for each request. `sasp.SaspClient` and
`xds.XdsClient` receive updates of the tables over SASP and over xDS.
"""

from .tables import (
    ClientError,
    MalformedResponseError,
    NoServerError,
    RequestRejectedError,
    Tables,
    UnreachableError,
)

__all__ = [
    "ClientError",
    "MalformedResponseError",
    "NoServerError",
    "RequestRejectedError",
    "Tables",
    "UnreachableError",
]
