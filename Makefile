PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
PACKAGES := core node entry agent
SOURCES := packages platform bench models soak tools conftest.py
EXPERIMENT ?= routing
ARGS ?=
PYTEST_ARGS ?=
# Tests that are expected to fail; empty to run a part of the suite.
KNOWN_RED ?= KNOWN-RED.txt

.PHONY: setup schema format lint types contracts test model demo bench soak check

$(VENV)/.ready: constraints.txt requirements-dev.txt $(foreach p,$(PACKAGES),packages/primroselever-$(p)/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -c constraints.txt -r requirements-dev.txt
	$(BIN)/python -m pip install -q -c constraints.txt --no-build-isolation $(foreach p,$(PACKAGES),-e packages/primroselever-$(p))
	touch $@

setup: $(VENV)/.ready

# Generate the Python modules of the thrift files again.
schema: setup
	$(BIN)/python -m tools.generate_schema
	$(BIN)/ruff format packages/primroselever-node

format: setup
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

lint: setup
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)

types: setup
	$(BIN)/mypy $(foreach p,$(PACKAGES),packages/primroselever-$(p)/src/primroselever_$(p)) bench models soak tools/generate_schema.py platform/primroselever_platform

contracts: setup
	$(BIN)/lint-imports

test: setup
	$(BIN)/python -m pytest $(if $(KNOWN_RED),--known-red $(KNOWN_RED)) $(PYTEST_ARGS)

model: setup
	$(BIN)/python -m models

demo: setup
	$(BIN)/python -m bench.demo

bench: setup
	@$(BIN)/python -m bench $(EXPERIMENT) $(ARGS)

check: lint types contracts test model

SEED ?= 1
SEEDS ?= 1
SECONDS ?= 20

# Run the platform's programs under external faults; each seed is one fleet.
soak: setup
	$(BIN)/python -m soak --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS) $(ARGS)
