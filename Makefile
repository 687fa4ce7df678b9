# `make demo` runs the main job; `make test` runs the tests. Each sets up all it needs.
PYTHON ?= python3
VENV ?= .venv
RUN := $(VENV)/bin/python -m
READY := $(VENV)/.ready-$(shell cksum < requirements.lock | cut -d' ' -f1)

.PHONY: soak proofs setup install demo bench test check format lint types contracts slopes generate binary clean

setup: $(READY)

$(READY): requirements.lock
	mkdir -p $(VENV)
	flock $(VENV)/.lock $(MAKE) --no-print-directory install

# Run by `setup` under its lock, so that only one process changes the environment.
install:
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	test $(READY) -nt requirements.lock || { \
		$(VENV)/bin/python -m pip install --quiet --disable-pip-version-check \
			--requirement requirements.lock && touch $(READY); }

demo: setup
	$(RUN) dewridge demo

test: setup
	$(RUN) pytest

check: setup format lint types contracts test

format: setup
	$(RUN) ruff format --check .

lint: setup
	$(RUN) ruff check .

# SEED=n and SCENARIO=name choose; histories go to build/proofs.
proofs: setup
	$(RUN) dewridge proofs --runs $(or $(RUNS),1)

types: setup
	$(RUN) mypy

contracts: setup
	$(VENV)/bin/lint-imports

# SEED=n RUNS=n SECONDS=n HOSTS=n choose; a seed of 0 is a fresh one. Logs go to build/soak.
soak: setup
	$(RUN) dewridge.tests.soak --seed $(or $(SEED),0) --runs $(or $(RUNS),1) \
		--seconds $(or $(SECONDS),20) --hosts $(or $(HOSTS),4)

# How costs grow with the number of hosts; takes some twenty minutes.
slopes: setup
	$(RUN) dewridge.slopes.tables
	$(RUN) dewridge.slopes.frames
	$(RUN) dewridge.slopes.membership
	$(RUN) dewridge.slopes.gatewaycost --hosts 73 --hosts 195

# Compares the policies with baselines; writes docs/bench.md and its plot.
bench: setup
	$(RUN) dewridge.bench

# Needs the thrift compiler; its result is committed, so that a build does not.
generate:
	cp dewridge/peers/__init__.py build-init.tmp
	thrift --gen py:slots -out dewridge/peers dewridge/peers/dewridge.thrift
	mv build-init.tmp dewridge/peers/__init__.py
	echo '"""Generated from dewridge.thrift by `make generate`."""' > dewridge/peers/wire/constants.py

clean:
	rm -rf build
