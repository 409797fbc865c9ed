"""Tests of the controllers' lease election, and of several controllers together."""
