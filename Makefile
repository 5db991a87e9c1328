# Commands of README.md. Everything is built in build/.
PACKAGES = g++ cmake ninja-build libcxxtools-dev libcapnp-dev libboost-dev \
  libboost-log-dev libboost-test-dev libdocopt-dev libxxhash-dev \
  libpcg-cpp-dev libsodium-dev librapidcheck-dev

.PHONY: demo test proof install build sweep measure capacity load soak format lint proto

# Installs, builds, and runs the whole path once on loopback.
demo: build
	scripts/demo.sh build

# Installs, builds, and passes the tests.
test: build
	cd build && ctest --output-on-failure -j 6

# Passes the tests and puts their matrix into docs/PROOF.md.
proof: test
	cp build/PROOF.md docs/PROOF.md

install:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || \
	  (apt-get update && apt-get install -y $(PACKAGES))

build: install
	cmake -S . -B build -G Ninja >/dev/null
	ninja -C build

# More seeds of every decision-level cell than CI runs; prints count and time.
SEEDS ?= 10
sweep: build
	build/proof-decisions --seeds=$(SEEDS)

# Rewrites docs/MEASUREMENTS.md; prints the slopes of docs/CAPACITY.md.
measure: build
	build/measure > docs/MEASUREMENTS.md
capacity: build
	build/capacity

# What the load model's patterns come to, with each rule of choice.
load: build
	build/load

# Real processes under drawn faults: SOAK seeds from FIRST on.
SOAK ?= 50
FIRST ?= 1
soak: build
	build/soak --binary=build/mustardspoke --first=$(FIRST) --seeds=$(SOAK)

format:
	git ls-files '*.cpp' '*.h' | grep -v capnp | xargs clang-format -i
lint: build
	scripts/lint.sh build

# Only needed after a change of peer.capnp; takes the package capnproto.
proto:
	cd src/inner && capnp compile -oc++ peer.capnp
