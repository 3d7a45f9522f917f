VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
export PYTHONPATH := src
STAMP := $(VENV)/.installed

.PHONY: demo test format lint types bench bench-quick chaos check clean

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m demo

test: $(STAMP)
	$(BIN)/python -m tests

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: $(STAMP)
	$(BIN)/mypy

bench-quick: $(STAMP)
	$(BIN)/python -m bench --quick

bench: $(STAMP)
	$(BIN)/python -m bench

chaos: $(STAMP)
	$(BIN)/python -m bench.chaos

check:
	bash .ci/run

clean:
	rm -rf $(VENV) build .mypy_cache .ruff_cache .hypothesis
