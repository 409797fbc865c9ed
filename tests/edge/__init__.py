"""Tests of the package `indigodeck.edge`."""
