"""Tests of `indigodeck.simulator`."""
