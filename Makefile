# Targets do their own set-up: `make demo` and `make test` work on a fresh checkout.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
MEMBERS := $(addprefix packages/,model decisions agreement protocol node ctl lab) platform
export PYTHONPATH := $(subst $(eval ) ,:,$(foreach m,$(MEMBERS),$(CURDIR)/$(m)/src))

.PHONY: setup test check format lint types demo generate lock report

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes -r requirements.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation \
		$(foreach m,$(MEMBERS),-e $(m))
	touch $@

test: setup
	$(BIN)/python tools/run_tests.py

format: setup
	-$(BIN)/ruff check --fix --quiet packages platform tools deploy
	$(BIN)/black --quiet packages platform tools deploy

lint: setup
	$(BIN)/black --check --quiet packages platform tools deploy
	$(BIN)/ruff check packages platform tools deploy
	$(BIN)/lint-imports --no-cache
	$(BIN)/python tools/check_comments.py

types: setup
	$(BIN)/mypy packages/*/src platform/src tools

check: lint types test

demo: setup
	$(BIN)/python -m persimmonusher_lab demo

report: setup
	$(BIN)/python -m persimmonusher_lab report build/report

generate: setup
	$(BIN)/python tools/generate_protocol.py

lock:
	$(PYTHON) -m pip install --quiet uv
	uv pip compile --quiet --generate-hashes --no-emit-index-url --no-header \
		--python-version 3.11 requirements.in -o requirements.txt
