PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: demo test check binary check-binary format reference

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

# The compile option of shiv would start processes on the first run.
binary: $(BIN)/.installed
	rm -rf build/site build/lib dist/aspenbridge
	mkdir -p dist
	$(BIN)/python -m pip install --quiet --no-compile --target build/site .
	rm -rf build/site/bin build/site/aspenbridge_standins build/site/aspenbridge_bench
	$(BIN)/shiv --reproducible --site-packages build/site \
		--root /dev/shm/aspenbridge --python '/usr/bin/env python3.11' \
		--entry-point aspenbridge.__main__:run --output-file dist/aspenbridge

check-binary: binary
	$(BIN)/python -m pytest -m binary tests/binary

format: $(BIN)/.installed
	$(BIN)/ruff format src tests
	$(BIN)/ruff check --fix src tests

reference: $(BIN)/.installed
	$(BIN)/aspenbridge check-config --reference > docs/reference/settings.md
	$(BIN)/aspenbridge check-config --codes > docs/reference/result-codes.md
