# build: a virtual environment with what requirements.txt pins; test, lint, run; sim: the simulator's adapter
PYTHON = .venv/bin/python

.PHONY: build demo fleet-demo system-demo campaign test fuzz lint format run sim check-config sites clean

build: .venv/built

.venv/built: requirements.txt requirements-fleet.txt requirements-lab.txt requirements-system.txt
	python3 -m venv .venv
	.venv/bin/pip -q install -r requirements-lab.txt
	touch $@

# real nodes, workers and clients on loopback for 20 s, one site lost on the way
demo: build
	$(PYTHON) -m bitternpath demo

# three stewards, six nodes, workers and clients for 30 s; a leader killed, a node stalled, a site cut off
fleet-demo: build
	$(PYTHON) -m bitternpath demo --fleet

# the whole system: four edge and three storage nodes, workers, operator and clients for 15 s; six faults
system-demo: build
	$(PYTHON) -m bitternpath system demo

# many runs with faults, of the whole service (system) or of the fleet: make campaign WAY=system|runs|walks|days|search MANY=10000
WAY = runs
MANY = 10000
campaign: build
	$(PYTHON) -m bitternpath campaign --way $(WAY) --many $(MANY)

test: build
	$(PYTHON) -m pytest && $(PYTHON) -m nose2 -s tests/system -t .

# a longer run of what CI does for seconds: generated input for the AMQP side
fuzz: build
	FUZZ_EXAMPLES=5000 $(PYTHON) -m pytest tests/test_amqp_wire.py -k no_input

lint: build
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/mypy

format: build
	.venv/bin/ruff check --fix .
	.venv/bin/ruff format .

# PROXY_CONFIG names the configuration, see README.md
run: build
	$(PYTHON) -m bitternpath serve

check-config: build
	$(PYTHON) -m bitternpath check-config

sim: build
	$(PYTHON) -m bitternpath.balancer.simhost

# lays what the operators' bench needs beside the sites of deploy/sites, from the folder that came with it
KIT = ../given/kit/sites
sites:
	@test -d $(KIT) || { echo "sites: no $(KIT): the operators' files have to lie beside this repository" >&2; exit 2; }
	@for site in deploy/sites/*/; do cp -f $(KIT)/real.json $(KIT)/wire.json $(KIT)/unlock.txt $$site; done

clean:
	rm -rf .venv .ci-venv .pytest_cache .ruff_cache .mypy_cache .hypothesis
