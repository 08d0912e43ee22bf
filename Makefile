PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
JOBS ?= auto

.PHONY: demo test soak mutants bench cost capacity lint format types lock clean

$(STAMP): requirements.lock pyproject.toml
	@test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	@$(BIN)/pip install -q --require-hashes -r requirements.lock >&2
	@$(BIN)/pip install -q --no-deps --no-build-isolation -e . >&2
	@touch $(STAMP)

demo: $(STAMP)
	@$(BIN)/python -m cassiadrum.demo $(if $(JSON),--json)

test: $(STAMP)
	$(BIN)/python -m pytest -n $(JOBS) --dist worksteal

soak: $(STAMP)
	SOAK_SEEDS=$(or $(SEEDS),50) $(BIN)/python -m pytest -n $(JOBS) --dist worksteal \
	  cassiadrum/tests/integration/test_fault_pairs.py cassiadrum/tests/gateways/test_gateway_soak.py

mutants: $(STAMP)
	$(BIN)/python -m bench.mutants $(NAMES)

bench: $(STAMP)
	$(BIN)/python -m bench

cost: $(STAMP)
	$(BIN)/python -m bench.wall_clock

capacity: $(STAMP)
	$(BIN)/python -m bench.capacity

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: $(STAMP)
	$(BIN)/mypy

lock:
	$(PYTHON) -m piptools compile --quiet --generate-hashes --allow-unsafe --strip-extras \
	  --no-header --no-emit-index-url --no-emit-find-links --no-emit-trusted-host \
	  -o requirements.lock requirements.in
