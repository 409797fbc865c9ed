"""Test doubles for a planner's environment: hosts, relays, endpoint list, networks and disks.

The package is not part of a deployment. It depends on the client library, and otherwise not on how
the planner is implemented.
"""
