"""Tests of `indigodeck.frontends`."""
