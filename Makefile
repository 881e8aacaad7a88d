# Needs python3 (3.11 or newer), pip and make. The environment stands in .venv-dev and is made anew when the
# project's requirements change.
VENV := .venv-dev
BIN := $(VENV)/bin

.PHONY: rehearse check lint types test clean

rehearse: $(VENV)/made
	$(BIN)/cloverhold rehearse

check: lint types test

lint: $(VENV)/made
	$(BIN)/python tests/layout.py
	$(BIN)/ruff check .

types: $(VENV)/made
	$(BIN)/mypy

test: $(VENV)/made
	$(BIN)/python -m pytest -q -p no:cacheprovider -n 4 --dist worksteal

$(VENV)/made: pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --editable ".[dev]"
	touch $@

clean:
	rm -rf $(VENV)
