"""Frontends: each speaks one protocol to proxies, and hands what they say to the planner."""
