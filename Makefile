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

# Runs both example deployments on loopback; JSON=1 prints the results as JSON.
demo: $(STAMP)
	@$(BIN)/python -m cassiadrum.demo $(if $(JSON),--json)

# Runs all tests in JOBS processes, by default one per CPU.
test: $(STAMP)
	$(BIN)/python -m pytest -n $(JOBS) --dist worksteal

# Runs the tests with random faults for SEEDS seeds, by default 50.
soak: $(STAMP)
	SOAK_SEEDS=$(or $(SEEDS),50) $(BIN)/python -m pytest -n $(JOBS) --dist worksteal \
	  cassiadrum/tests/integration/test_fault_pairs.py cassiadrum/tests/gateways/test_gateway_soak.py \
	  cassiadrum/tests/gateways/test_limit_soak.py

# Runs the mutation tests of bench/mutants.toml; NAMES selects some of them.
mutants: $(STAMP)
	$(BIN)/python -m bench.mutants $(NAMES)

# Runs the simulation benchmarks and checks the regression bounds.
bench: $(STAMP)
	$(BIN)/python -m bench

# Measures the cost of a request through the router, a minimal relay and the direct path.
cost: $(STAMP)
	$(BIN)/python -m bench.wall_clock

# Measures the capacity series and idle figures, and writes bench/capacity.json and its page.
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

# Pins requirements.in and its dependencies with hashes; needs pip-tools in PYTHON.
lock:
	$(PYTHON) -m piptools compile --quiet --generate-hashes --allow-unsafe --strip-extras \
	  --no-header --no-emit-index-url --no-emit-find-links --no-emit-trusted-host \
	  -o requirements.lock requirements.in
