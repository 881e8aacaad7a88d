# Needs python3 (3.11 or newer), pip and make. The environment stands in .venv-dev and is made anew when the
# project's requirements change.
VENV := .venv-dev
BIN := $(VENV)/bin

.PHONY: rehearse check lint types test wheel compiled compiled-tests scale clean

rehearse: $(VENV)/made
	$(BIN)/cloverhold rehearse

# What needs one core each goes side by side, the environment and the compiled build first; the tests, which start
# processes of their own, have the machine to themselves.
check:
	$(MAKE) --output-sync=target -j 3 lint types wheel
	$(MAKE) test compiled-tests

lint: $(VENV)/made
	$(BIN)/python tests/layout.py
	$(BIN)/ruff check .
	$(BIN)/ruff format --check --quiet .

types: $(VENV)/made
	$(BIN)/mypy

# Three quarters of the cores, four at least: most tests wait for the processes that they start.
TESTERS := $(shell cores=$$(nproc); n=$$((cores * 3 / 4)); echo $$((n > 4 ? n : 4)))
# Fourteen plays side by side, and soaks: beside other tests they come too late for the kit's clock.
ALONE := tests/rehearsal/test_cheats.py tests/faults/test_soak.py
test: $(VENV)/made
	$(BIN)/python -m pytest -q -p no:cacheprovider $(ALONE)
	$(BIN)/python -m pytest -q -p no:cacheprovider -n $(TESTERS) --dist worksteal $(addprefix --ignore=,$(ALONE))

# The module's tests once more, on the compiled build of the same sources. Built from a copy: the environment is made
# meanwhile from the tree itself, and each build writes beside its sources.
COMPILED := build/compiled
wheel: $(VENV)/bare
	rm -rf build/wheel build/sources $(COMPILED)
	mkdir -p build/sources
	cp -r cloverhold pyproject.toml setup.py README.md build/sources
	CLOVERHOLD_COMPILE=1 $(BIN)/pip wheel --quiet --disable-pip-version-check --no-deps --wheel-dir build/wheel ./build/sources
	$(BIN)/python -m zipfile -e build/wheel/*.whl $(COMPILED)

compiled: wheel
	$(MAKE) compiled-tests

compiled-tests:
	PYTHONPATH=$(COMPILED) CLOVERHOLD_COMPILE=1 $(BIN)/python -P -m pytest -q -p no:cacheprovider -n $(TESTERS) \
		-o pythonpath=$(COMPILED) tests/test_compiled.py tests/test_index.py tests/test_scale.py tests/test_path.py tests/test_rules.py \
		tests/test_health.py tests/test_found.py tests/test_random.py tests/test_odd_days.py tests/test_pools.py

$(VENV)/bare:
	python3 -m venv $(VENV)
	touch $@

$(VENV)/made: pyproject.toml setup.py | $(VENV)/bare
	$(BIN)/pip install --quiet --disable-pip-version-check --editable ".[dev]"
	touch $@

# What docs/CAPACITY.md rests on: some half an hour and 9 GB. Ctrl-c ends all that it started.
scale: $(VENV)/made
	$(BIN)/python benchmarks/scale/run.py

clean:
	rm -rf $(VENV) build
