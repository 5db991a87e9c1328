# Commands of README.md. Everything is built in build/.
PACKAGES = g++ cmake ninja-build libcxxtools-dev libcapnp-dev libboost-dev \
  libboost-log-dev libboost-test-dev libdocopt-dev libxxhash-dev \
  libpcg-cpp-dev libsodium-dev librapidcheck-dev nlohmann-json3-dev

.PHONY: demo test proof install build sweep measure capacity load decisions soak format lint proto

# Installs packages, builds, and runs calls through two entry VMs on loopback.
demo: build
	scripts/demo.sh build

# Installs packages, builds, and runs all tests.
test: build
	cd build && ctest --output-on-failure -j 6

# Runs all tests and updates the proof matrix in docs/PROOF.md.
proof: test
	cp build/PROOF.md docs/PROOF.md

install:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || \
	  (apt-get update && apt-get install -y $(PACKAGES))

build: install
	cmake -S . -B build -G Ninja >/dev/null
	ninja -C build

# Runs every decision-level proof cell with more seeds than CI does; prints the
# number of runs and the time.
SEEDS ?= 10
sweep: build
	build/proof-decisions --seeds=$(SEEDS)

# measure rewrites docs/MEASUREMENTS.md; capacity prints the figures of
# docs/CAPACITY.md.
measure: build
	build/measure > docs/MEASUREMENTS.md
capacity: build
	build/capacity

# Prints the results of the load model's traffic patterns for each upstream
# selection rule.
load: build
	build/load

# Prints the time of one selection of an upstream among 340.
decisions: build
	build/decision-bench

# Runs real processes under random faults: SOAK seeds, starting with FIRST.
SOAK ?= 50
FIRST ?= 1
soak: build
	build/soak --binary=build/mustardspoke --first=$(FIRST) --seeds=$(SOAK)

format:
	git ls-files '*.cpp' '*.h' | grep -v capnp | xargs clang-format -i
lint: build
	scripts/lint.sh build

# Regenerates the code of peer.capnp after a change of that file. Requires the
# package capnproto. For heartbeat.capnp, run the same command with that file.
proto:
	cd src/inner && capnp compile -oc++ peer.capnp
