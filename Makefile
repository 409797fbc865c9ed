# On a fresh machine: `make day` sets up and plays the scripted bad day, `make test` sets up and tests.
VENV := .venv
PYTHON := $(VENV)/bin/python
READY := $(VENV)/.ready-$(shell cat requirements.txt requirements-dev.txt pyproject.toml | cksum | cut -d' ' -f1)

.PHONY: day test lint setup

day: setup
	$(PYTHON) -m indigodeck day examples/bad-day.json --against equal --against frozen

test: setup lint
	$(PYTHON) tests/run.py

# Formatter, linter and types, over the whole tree; mypy's packages are those in pyproject.toml.
lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

setup: $(READY)

$(READY):
	test -d $(VENV) || python3 -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements.txt -r requirements-dev.txt
	$(VENV)/bin/pip -q install --no-deps -e .
	rm -f $(VENV)/.ready-*
	touch $@
