"""Tests of `indigodeck.client`."""
