PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
SEED ?= 1
STEPS ?= 40
FIRST ?= 1
COUNT ?= 5
SECONDS ?= 12

.PHONY: demo test lint format bench binary fuzz faults soak schema reference

$(VENV)/installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check $$($(PYTHON) -c "import tomllib; p = tomllib.load(open('pyproject.toml', 'rb'))['project']; print(*p['dependencies'], *p['optional-dependencies']['dev'])")
	touch $@

demo: $(VENV)/installed
	scripts/demo

test: $(VENV)/installed
	$(BIN)/python -m pytest

lint: $(VENV)/installed
	$(BIN)/black --check -q marigoldtrail bench conftest.py
	$(BIN)/ruff check -q marigoldtrail bench conftest.py
	$(BIN)/mypy

format: $(VENV)/installed
	$(BIN)/black -q marigoldtrail bench conftest.py
	$(BIN)/ruff check -q --fix marigoldtrail bench conftest.py

bench: $(VENV)/installed
	$(BIN)/python -m bench

fuzz: $(VENV)/installed
	$(BIN)/python -m marigoldtrail.testing fuzz --seed $(SEED) --steps $(STEPS)

# Parts run side by side; the last command writes the page from their results.
FAULT_PARTS := 1 2 3 4
faults: $(VENV)/installed
	rm -rf build/faults
	for part in $(FAULT_PARTS); do \
	    $(BIN)/python -m marigoldtrail.testing faults --part $$part/4 --results build/faults \
	        --page build/faults-$$part.md & \
	done; wait
	$(BIN)/python -m marigoldtrail.testing faults --results build/faults

soak: $(VENV)/installed
	$(BIN)/python -m bench.soak --first $(FIRST) --count $(COUNT) --seconds $(SECONDS)

binary: $(VENV)/installed
	mkdir -p dist
	$(BIN)/shiv -q --compressed -c marigoldtrail -o dist/marigoldtrail .

schema: $(VENV)/installed
	$(BIN)/python -m marigoldtrail.schema

reference: $(VENV)/installed
	$(BIN)/python -m marigoldtrail.schema.reference
