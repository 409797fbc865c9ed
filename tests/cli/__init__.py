"""Tests of `indigodeck.cli`."""
