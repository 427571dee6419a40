# SPDX-License-Identifier: MIT
# Each target does its own set-up: on a fresh machine one command is enough.

BUILD := build/release
SANITIZE := build/sanitize

.PHONY: capacity experiments soak-processes all build setup test test-sanitize test-processes demo bench soak golden fuzz lint format thrift clean

all: build

setup:
	@tools/setup

$(BUILD)/build.ninja: CMakeLists.txt CMakePresets.json | setup
	cmake --preset release

build: setup $(BUILD)/build.ninja
	cmake --build $(BUILD)

test: build
	tools/run_tests $(BUILD)

# Without the matrix and the drawn histories, which take minutes under the sanitizers.
test-sanitize: setup
	cmake --preset sanitize
	cmake --build $(SANITIZE) --target gingerdyke-tests
	tools/run_tests $(SANITIZE) "every fault|faults together|histories that"

golden: build
	GINGERDYKE_WRITE_GOLDEN=1 $(BUILD)/gingerdyke-tests "[golden]"
	git --no-pager diff --stat -- tests/golden

# Thousands of drawn histories, each with up to three faults.
soak: build
	GINGERDYKE_HISTORIES=5000 ctest --test-dir $(BUILD) --output-on-failure -R "faults together" -j 4

# Real processes under drawn faults, SEEDS of them from FIRST, six at a time; logs of broken ones stay in soak-logs.
FIRST ?= 1
SEEDS ?= 50
soak-processes: build
	seq $(FIRST) $$(($(FIRST) + $(SEEDS) - 1)) | xargs -P 6 -I{} $(BUILD)/gingerdyke-soak --seed {} --keep soak-logs

test-processes: build
	tools/process_tests.py

fuzz: setup
	cmake --preset fuzz
	cmake --build build/fuzz --target fuzz_peer_frame fuzz_table fuzz_sse fuzz_relay_frame fuzz_event_stream
	tools/fuzz build/fuzz 30

bench: build
	tools/bench.py

capacity: build
	mkdir -p docs/measurements
	$(BUILD)/capacity | tee docs/measurements/capacity.md

experiments: build
	mkdir -p docs/measurements
	$(BUILD)/experiments | tee docs/measurements/experiments.md

demo: build
	tools/demo.py --user padana
	tools/demo.py --user tariq

lint: setup
	tools/lint

format: setup
	tools/format --write

thrift: setup
	thrift --gen cpp:no_skeleton -out generated thrift/peer.thrift
	thrift --gen cpp:no_skeleton -out generated thrift/relay.thrift

clean:
	rm -rf build
