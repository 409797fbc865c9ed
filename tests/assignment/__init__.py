"""Tests of the package `indigodeck.assignment`."""
