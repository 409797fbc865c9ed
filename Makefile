# On a fresh machine: `make day` sets up and plays the scripted bad day, `make test` sets up and tests.
VENV := .venv
PYTHON := $(VENV)/bin/python
READY := $(VENV)/.ready-$(shell cat requirements.txt requirements-dev.txt pyproject.toml | cksum | cut -d' ' -f1)

.PHONY: day test setup

day: setup
	$(PYTHON) -m indigodeck day examples/bad-day.json --against equal --against frozen

test: setup
	$(PYTHON) tests/run.py

setup: $(READY)

$(READY):
	test -d $(VENV) || python3 -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements.txt -r requirements-dev.txt
	$(VENV)/bin/pip -q install --no-deps -e .
	rm -f $(VENV)/.ready-*
	touch $@
