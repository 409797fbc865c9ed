"""Fronts: each speaks one protocol to relays and hands what they say to the planner's host."""
