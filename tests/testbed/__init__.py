"""Tests of `indigodeck.testbed`."""
