"""Tests of `indigodeck.assignment`."""
