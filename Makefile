PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: demo test check binary format

$(BIN)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --editable '.[test,bench]'
	touch $@

demo: $(BIN)/.installed
	$(BIN)/aspenbridge demo

test: $(BIN)/.installed
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/mypy
	$(BIN)/python -m pytest
	$(BIN)/aspenbridge demo

check: test

format: $(BIN)/.installed
	$(BIN)/ruff format src tests
	$(BIN)/ruff check --fix src tests
