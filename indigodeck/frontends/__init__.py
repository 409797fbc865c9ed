"""Frontends: each serves proxies over one protocol, and passes their requests to the planner."""
