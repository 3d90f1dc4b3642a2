# Set-up, checks, tests, local deployment and measurements. Needs Python 3.11, pip and make.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= plovdiv
SEED ?= 1
STEPS ?= 400
SEEDS ?= 1
STAMP := $(VENV)/.installed

.PHONY: setup format lint check test run bench prove soak soak-processes lock plots clean

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --editable .
	touch $(STAMP)

format: setup
	$(BIN)/black .
	$(BIN)/ruff check --fix .

lint: setup
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check --quiet .
	$(BIN)/mypy

test: setup
	PATH="$(abspath $(BIN)):$$PATH" $(BIN)/python -m pytest

check: lint test

run: setup
	$(BIN)/python tools/launch.py --deployment $(DEPLOYMENT)

bench: setup
	$(BIN)/python -m bench $(SCENARIO) --seed $(SEED)

prove: setup
	$(BIN)/python -m bench.prove $(PROMISE)

soak: setup
	$(BIN)/python -m bench.soak --seed $(SEED) --steps $(STEPS)

soak-processes: setup
	$(BIN)/python -m bench.soak_processes --seed $(SEED) --seeds $(SEEDS)

plots: setup
	$(BIN)/python -m bench.plots

lock: setup
	$(BIN)/pip-compile --quiet --no-emit-index-url --no-emit-find-links --no-emit-trusted-host --strip-extras --extra ctl --extra dev --output-file requirements.lock pyproject.toml

clean:
	rm -rf $(VENV) build *.egg-info
