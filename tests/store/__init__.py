"""Tests of the package `indigodeck.store`."""
