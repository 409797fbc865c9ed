"""Tests of `indigodeck.frontends`."""

import os

# Before any module here imports grpc: it writes its log to standard error otherwise.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
