PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SOURCES := packages platform tools tests scenarios
STAMP := $(VENV)/.installed
PACKAGES := $(addprefix packages/,core conversations workspaces quotas ingress pacing platform peers state policy membership configuration entry cli standins gateway storage edge model) platform

.PHONY: setup run serve test check unit measure capacity format soak

setup: $(STAMP)

$(STAMP): requirements/dev.txt $(foreach package,$(PACKAGES),$(package)/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes -r requirements/dev.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation $(foreach package,$(PACKAGES),-e ./$(package))
	touch $(STAMP)

check: setup
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/mypy $(wildcard packages/*/src) platform/src tools

unit: setup
	$(BIN)/python tools/run_tests.py

test: setup
	$(BIN)/python tools/verdict.py

format: setup
	$(BIN)/ruff check --fix $(SOURCES)
	$(BIN)/ruff format $(SOURCES)

run: setup
	$(BIN)/python tools/demo.py
	$(BIN)/python -m balsamloom_testbed.demo

soak: setup
	$(BIN)/python -m balsamloom_testbed.soak --runs 5

serve: setup
	$(BIN)/python tools/demo.py --keep

measure: setup
	$(BIN)/python tools/measure.py

capacity: setup
	$(BIN)/python tools/capacity.py
