"""Numbered versions of the published tables: storage, replication, and rollback to any of them.

See docs/versions.md for the design.
"""
