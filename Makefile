# Every target sets up the virtual environment first when it is missing.
VENV ?= .venv
PYTHON ?= python3.11
PACKAGES := decisions wire node ctl standins
TOOLS := ruff hacking mypy import-linter hypothesis minicheck setuptools
STAMP := $(VENV)/.installed-$(firstword $(shell cat constraints.txt packages/*/pyproject.toml | cksum))
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(foreach p,$(PACKAGES),$(CURDIR)/packages/$(p)/src) $(CURDIR)/platform)
export PATH := $(abspath $(VENV))/bin:$(PATH)
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: setup run samples test lint format bench capacity check-model soak fault-soak

setup: $(STAMP)

$(STAMP):
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install -q -c constraints.txt $(TOOLS)
# hdrhistogram has no wheel for arm64, and its source distribution reports
# version 0.0.0 when built without build isolation.
	$(VENV)/bin/python -m pip install -q -c constraints.txt hdrhistogram
	$(VENV)/bin/python -m pip install -q -c constraints.txt \
	  --no-build-isolation $(foreach p,$(PACKAGES),-e packages/$(p))
	touch $@

lint: setup
	ruff format --check .
	ruff check .
	flake8 packages platform tests tools
	lint-imports
	mypy

format: setup
	ruff format .
	ruff check --fix .

test: setup
	python tools/run_tests.py

run: setup
	python -m gypsumbridge_standins.gateway_demo
	python -m gypsumbridge_standins.demo $(if $(KEEP),--keep)

capacity: setup
	python -m gypsumbridge_standins.capacity $(or $(OUT),out)

samples: setup
	python tools/write_samples.py

bench: setup
	python -m gypsumbridge_standins.bench $(if $(OUT),--out $(OUT)) $(if $(BASELINE),--baseline $(BASELINE))

check-model: setup
	python -m gypsumbridge_standins.check_model

soak: setup
	python -m gypsumbridge_standins.soak $(or $(SEED),1) $(or $(STEPS),20000)

fault-soak: setup
	python -m gypsumbridge_standins.fault_soak $(or $(SEED),1) $(or $(SECONDS),20) $(if $(GATEWAYS),--gateways $(GATEWAYS))
