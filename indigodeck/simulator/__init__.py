"""Hosts assigners for the simulator: reads batches of events, writes batches of actions."""
