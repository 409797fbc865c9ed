"""Everything that plays the outside world: hosts, relays, the endpoint list, networks and disks.

It knows nothing of the planner's code beyond the client library, and is no part of a deployment.
"""
