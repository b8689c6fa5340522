VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: run test lint format binary check-binary clean

$(STAMP): pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $(STAMP)

run: $(STAMP) run/settings.toml
	$(VENV)/bin/turmericreel serve --settings run/settings.toml

# Creates the default settings with a new operator key, unless they exist.
run/settings.toml: | $(STAMP)
	$(VENV)/bin/turmericreel settings new run

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/lint-imports

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

test: lint
	$(PYTHON) -m pytest

# No --compile-pyc: it makes the first start fork worker processes.
binary: dist/turmericreel

dist/turmericreel: $(STAMP) $(shell find turmericreel -type f -not -name '*.pyc')
	mkdir -p dist
	$(VENV)/bin/shiv --quiet --reproducible -c turmericreel -o $@ .

check-binary: dist/turmericreel
	TURMERICREEL_BINARY=$(CURDIR)/$< SHIV_ROOT=$(CURDIR)/build/shiv \
		PATH=$(CURDIR)/$(VENV)/bin:$$PATH \
		$(PYTHON) -m pytest test/test_one_binary.py

clean:
	rm -rf $(VENV) build dist
