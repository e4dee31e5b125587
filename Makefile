# Tasks of the project. `make help` lists them.

VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
TEST_WORKERS ?= 4

.PHONY: help setup format check lint test search demo pages measure-path soak

help:  ## List the tasks.
	@grep -E '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/\t/'

setup: $(BIN)/.ready  ## Build the environment from pinned versions.

$(BIN)/.ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

format: setup  ## Rewrite the sources in the project's format.
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

check: setup  ## Fail if a source is not in the project's format.
	$(BIN)/ruff format --check .

lint: setup  ## Run the linter.
	$(BIN)/ruff check .

test: setup  ## Run the tests.
	$(BIN)/python scripts/run_tests.py -n $(TEST_WORKERS) --dist loadfile

demo: setup  ## Run the main job against the stand-ins.
	$(BIN)/python scripts/demo.py

pages: setup  ## Rewrite the pages that are made from the sources.
	$(BIN)/python scripts/write_settings_page.py
	$(BIN)/python scripts/write_events_page.py
	$(BIN)/python scripts/write_proofs_page.py

soak: setup  ## Play ten seeds of faults against the real programs.
	$(BIN)/nutmegdeal-soak --seed $(or $(SEED),1) --count 10

search: setup  ## Search long for failures with random seeds, which are printed.
	NUTMEGDEAL_PROFILE=search $(BIN)/python -m pytest -n $(TEST_WORKERS) \
		--timeout=3600 -m "not processes" nutmegdeal/tests

measure-path: setup  ## Measure the way through entry and agent on a small site.
	$(BIN)/python scripts/measure_path.py
