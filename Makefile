# Needs python3 (3.11 or newer), pip and make. The environment stands in .venv-dev and is made anew when the
# project's requirements change.
VENV := .venv-dev
BIN := $(VENV)/bin

.PHONY: rehearse check lint types test compiled clean

rehearse: $(VENV)/made
	$(BIN)/cloverhold rehearse

check: lint types test compiled

lint: $(VENV)/made
	$(BIN)/python tests/layout.py
	$(BIN)/ruff check .

types: $(VENV)/made
	$(BIN)/mypy

test: $(VENV)/made
	$(BIN)/python -m pytest -q -p no:cacheprovider -n 4 --dist worksteal

# The module's tests once more, on the compiled build of the same sources.
COMPILED := build/compiled
compiled: $(VENV)/made
	rm -rf build/wheel $(COMPILED)
	CLOVERHOLD_COMPILE=1 $(BIN)/pip wheel --quiet --disable-pip-version-check --no-deps --wheel-dir build/wheel .
	$(BIN)/python -m zipfile -e build/wheel/*.whl $(COMPILED)
	PYTHONPATH=$(COMPILED) CLOVERHOLD_COMPILE=1 $(BIN)/python -P -m pytest -q -p no:cacheprovider -n 4 \
		-o pythonpath=$(COMPILED) tests/test_compiled.py tests/test_index.py tests/test_scale.py tests/test_path.py tests/test_rules.py \
		tests/test_health.py tests/test_found.py tests/test_random.py tests/test_odd_days.py tests/test_pools.py

$(VENV)/made: pyproject.toml setup.py
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --editable ".[dev]"
	touch $@

clean:
	rm -rf $(VENV) build
