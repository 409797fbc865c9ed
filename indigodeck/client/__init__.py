"""For proxies: traffic tables by class, kept up to date by a planner, whichever protocol it speaks.

`Tables` holds what a proxy goes by and picks servers from it. `sasp.SaspClient` and
`xds.XdsClient` keep one up to date over SASP and over xDS.
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
