# Two commands matter to a newcomer: `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := $(wildcard packages/*) platform
ARGS ?=

.PHONY: demo drill soak test measure fuzz fuzz-batch format lint types unit \
  check-install clean

# The environment is rebuilt when a version or a package's metadata changes.
$(VENV)/.installed: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --constraint constraints.txt --requirement requirements-dev.txt
	$(BIN)/python -m pip install --quiet --constraint constraints.txt --no-build-isolation $(addprefix --editable ,$(PACKAGES))
	touch $@

demo: $(VENV)/.installed
	bash tools/demo.sh $(if $(ARGS),$(ARGS),shrestha)

# Injects failures into the demo's processes under load; takes some minutes.
drill: $(VENV)/.installed
	bash tools/demo.sh $(if $(ARGS),$(ARGS),shrestha) pomeloarch_standins.drill

# Runs the real nodes under random faults; `ARGS='--runs 50'` runs 50 new seeds.
soak: $(VENV)/.installed
	$(BIN)/python -m pomeloarch_soak $(ARGS)

test: lint types unit

lint: $(VENV)/.installed
	$(BIN)/ruff format --check packages platform conftest.py
	$(BIN)/ruff check packages platform conftest.py
	$(BIN)/lint-imports --no-cache

types: $(VENV)/.installed
	$(BIN)/mypy packages/*/src platform/pomeloarch_platform platform/pomeloarch_soak

# The adapter's tests run separately, in import mode `prepend`: in the mode of
# the others, their names start with `platform`, a standard library module.
unit: $(VENV)/.installed
	PYTHONHASHSEED=0 $(BIN)/python -m pytest -n 4 $(ARGS)
	PYTHONHASHSEED=0 $(BIN)/python -m pytest -n 3 --import-mode=prepend platform/tests

measure: $(VENV)/.installed
	$(BIN)/python -m pomeloarch_standins.measure $(ARGS)

fuzz: $(VENV)/.installed
	POMELOARCH_FUZZ=1 $(BIN)/python -m pytest -n 4 packages -k "machine or fuzz" $(ARGS)

# Random jobs and faults on models; `ARGS='--seeds 1-200 --shrink'` for more.
fuzz-batch: $(VENV)/.installed
	PYTHONHASHSEED=0 $(BIN)/python -m pomeloarch_standins.batch_fuzz $(ARGS)

# Needs the network; takes some minutes.
check-install:
	bash tools/check_install.sh

format: $(VENV)/.installed
	$(BIN)/ruff format packages platform conftest.py
	$(BIN)/ruff check --fix packages platform conftest.py

clean:
	rm -rf $(VENV) .ruff_cache .mypy_cache .pytest_cache .hypothesis
