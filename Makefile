VENV ?= .venv
PY := $(VENV)/bin/python
export PYTHONPATH := src:tests
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: demo test setup format bench bench-full soak platform-soak \
    mutations

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q --disable-pip-version-check \
	    -r requirements.lock
	$(PY) -m pip install -q --disable-pip-version-check \
	    --no-deps --no-build-isolation -e .
	touch $@

demo: setup
	$(PY) tests/demo.py

test: setup
	$(PY) tests/run_checks.py

format: setup
	$(PY) -m ruff format .
	$(PY) -m ruff check --fix .

bench: setup
	$(PY) benchmarks/run.py --short

bench-full: setup
	$(PY) benchmarks/run.py --write docs/MEASUREMENTS.md

soak: setup
	$(PY) tests/soak.py

platform-soak: setup
	$(PY) tests/platform_soak.py --runs 50

mutations: setup
	$(PY) tests/mutations.py
