PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed

.PHONY: setup demo test check bench capacity fuzz mutants docs generate soak

setup: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt -e '.[dev]'
	touch $(STAMP)

demo: setup
	$(BIN)/python -m scripts.demo

check: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 --select H --extend-ignore H304 \
	  --extend-exclude .venv,pomelopass/wire/gen \
	  pomelopass standins scripts bench soak tests

test: check
	$(BIN)/python -m scripts.run_tests

bench: setup
	$(BIN)/python -m bench

capacity: setup
	$(BIN)/python -m bench.capacity

fuzz: setup
	$(BIN)/python -m scripts.fuzz

soak: setup
	$(BIN)/python -m soak --runs 10

mutants: setup
	$(BIN)/python -m scripts.mutants

docs: setup
	$(BIN)/python -m scripts.write_reference

# Needs the Debian package thrift-compiler; the result is committed.
generate:
	thrift -r --gen py:slots -out pomelopass/wire/gen pomelopass/wire/peer.thrift
	thrift -r --gen py:slots -out pomelopass/wire/gen pomelopass/wire/relay.thrift
	thrift -r --gen py:slots -out pomelopass/wire/gen pomelopass/wire/permits.thrift
	thrift -r --gen py:slots -out pomelopass/wire/gen pomelopass/wire/tunnels.thrift
	rm -f pomelopass/wire/gen/*/*-remote pomelopass/wire/gen/__init__.py
	echo '"""Hold the code that thrift generates from the files beside it."""' \
	  > pomelopass/wire/gen/__init__.py
