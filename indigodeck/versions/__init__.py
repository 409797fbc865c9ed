"""Versions of published tables: their numbers, causes and deltas, and the rollback to any of them.

See docs/versions.md for the design.
"""
