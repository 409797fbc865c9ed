"""Tests of `indigodeck.frontends`."""

import os

# Set before any module here imports grpc, which otherwise logs to standard error.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
