"""Tests of `indigodeck.planner`."""
