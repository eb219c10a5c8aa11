# Every target sets up its own environment in .venv; nothing else on the machine is needed
# but Python 3.11 or later and make.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.stamp-$(shell cat requirements/*.txt packages/*/pyproject.toml | cksum | cut -d' ' -f1)
PACKAGES := geraniumlead geraniumlead-server geraniumlead-client geraniumlead-standins

.PHONY: setup test lint format demo bench histories capacity soak ablation pages

setup: $(STAMP)

$(STAMP):
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --no-deps -r requirements/runtime.txt
	grep -v '^-r' requirements/development.txt > $(VENV)/development.txt
	$(BIN)/pip install --quiet --no-deps -r $(VENV)/development.txt
	$(BIN)/pip install --quiet --no-deps setuptools==84.2.1
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(foreach p,$(PACKAGES),-e packages/$(p))
	touch $@

lint: setup
	$(BIN)/black --check --quiet packages
	$(BIN)/ruff check packages

format: setup
	$(BIN)/ruff check --fix --quiet packages
	$(BIN)/black --quiet packages

test: setup
	$(BIN)/python -m geraniumlead_standins.testing.runner packages

demo: setup
	$(BIN)/python -m geraniumlead_standins.demo

bench: setup
	$(BIN)/python -m geraniumlead_standins.bench

# What each mechanism of the form on the users' platform is worth, in virtual time.
ablation: setup
	$(BIN)/python -m geraniumlead_standins.bench.forwarding_bound --ablation

histories: setup
	$(BIN)/python -m geraniumlead_standins.histories

soak: setup
	$(BIN)/python -m geraniumlead_standins.soak

capacity: setup
	$(BIN)/python -m geraniumlead_standins.capacity

# Writes the pages that are rendered from the code.
pages: setup
	$(BIN)/python -m geraniumlead_server.callers.openapi > docs/reference/openapi.json
	$(BIN)/geraniumlead schema --folder docs/reference/schemas
	$(BIN)/python -m geraniumlead_standins.deployments
