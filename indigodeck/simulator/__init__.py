"""Hosts assigners on the simulator's wire: codec, adapter and loop."""
