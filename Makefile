# README's two commands are `make quickstart` and `make test`; each sets up .venv when it is missing.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: setup format lint types test test-promises quickstart ci

.venv/.ready: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install -q --disable-pip-version-check -c constraints.txt -r requirements-dev.txt
	$(BIN)/pip install -q --disable-pip-version-check -c constraints.txt --no-build-isolation \
	  -e packages/core -e packages/node -e packages/cli -e packages/standins -e platform
	touch $@

setup: .venv/.ready

format: setup
	$(BIN)/black -q .
	$(BIN)/ruff check -q --fix .

lint: setup
	$(BIN)/black --check -q .
	$(BIN)/ruff check -q .

types: setup
	$(BIN)/mypy packages/core/src packages/node/src packages/cli/src packages/standins/src platform/src

test: setup
	$(BIN)/python tools/run_tests.py

test-promises: setup
	$(BIN)/python tools/run_tests.py --promises

quickstart: setup
	$(BIN)/python -m carobspool_standins.quickstart

ci:
	.ci/run
