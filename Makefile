# `make test` and `make demo` set up everything they need on a fresh machine.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := packages/model packages/decisions packages/wire packages/front packages/daemon packages/cli platform standins

.PHONY: bite spin setup test lint demo bench soak soak-processes generate

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.lock packages/*/pyproject.toml platform/pyproject.toml standins/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation $(foreach p,$(PACKAGES),-e $(p))
	touch $@

generate: setup
	$(BIN)/python tools/generate.py

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/lint-imports
	$(BIN)/python tools/generate.py --check

# The model checker comes from the distribution; installing it needs root.
spin:
	command -v spin >/dev/null || apt-get install -y -q spin >/dev/null 2>&1 || (apt-get update -q && apt-get install -y -q spin) >/dev/null

test: setup spin lint
	$(BIN)/python -m pytest

soak: setup
	HYPOTHESIS_PROFILE=soak $(BIN)/python -m pytest packages

SEED ?= 1
RUNS ?= 10
soak-processes: setup
	$(BIN)/python -m bench.soak --seed $(SEED) --runs $(RUNS)

demo: setup
	$(BIN)/python bench/demo.py

bench: setup
	$(BIN)/python -m bench

bite: setup
	$(BIN)/python tools/bite.py
