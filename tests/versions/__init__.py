"""Tests of `indigodeck.versions`."""
