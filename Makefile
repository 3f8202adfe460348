# The top of the build, over CMake. `make help` lists the targets.
BUILD ?= build
JOBS ?= $(shell nproc)
PACKAGES := cmake make g++ python3 git clang-format clang-tidy \
  libpoco-dev libcapnp-dev libboost-dev libboost-program-options-dev \
  liblog4cplus-dev libyaml-cpp-dev nlohmann-json3-dev libgtest-dev libgmock-dev \
  libxxhash-dev libssl-dev libbenchmark-dev
SOURCES = $(shell git ls-files 'src/*.cc' 'src/*.h' | grep -v '/wire/')

.PHONY: help deps build demo run test check bench format check-format lint \
  asan tsan generate

help:
	@echo "demo   install, build and show a local deployment at work"
	@echo "run    install, build and leave a local deployment running"
	@echo "test   install, build and run every test"
	@echo "bench  run the benchmarks"
	@echo "format, check-format, lint, asan, tsan, generate: for developers"

deps:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || \
	  (apt-get update -qq && DEBIAN_FRONTEND=noninteractive \
	   apt-get install -y -qq $(PACKAGES) >/dev/null)

build:
	@cmake -S . -B $(BUILD) $(CMAKE_FLAGS) >/dev/null
	@$(MAKE) --no-print-directory -C $(BUILD) -j$(JOBS)

demo: deps build
	@POLLENLEDGE_BUILD=$(abspath $(BUILD)) python3 tools/demo.py

run: deps build
	@POLLENLEDGE_BUILD=$(abspath $(BUILD)) python3 tools/run_local.py

test: deps build check

# Runs the tests without building first.
check:
	@POLLENLEDGE_BUILD=$(abspath $(BUILD)) python3 tools/run_tests.py $(BUILD)

bench: deps build
	@$(BUILD)/src/bench/pollenledge_bench

format:
	@clang-format -i $(SOURCES)

check-format:
	@clang-format --dry-run --Werror $(SOURCES)
	@python3 tools/check_names.py

# Precompiled headers are the compiler's own; the linter reads plain ones.
lint:
	@cmake -S . -B build-lint -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
	@echo $(filter %.cc,$(SOURCES)) | tr ' ' '\n' | \
	  xargs -P $(JOBS) -n 4 clang-tidy -p build-lint --quiet \
	  --extra-arg=-Wno-unknown-warning-option 2>/dev/null

# The deciding code's tests under sanitizers.
asan:
	@cmake -S . -B build-asan -DPOLLENLEDGE_SANITIZER=address,undefined >/dev/null
	@$(MAKE) --no-print-directory -C build-asan -j$(JOBS) pollenledge_test
	@build-asan/src/libpollenledge/pollenledge_test --gtest_filter=-AtMostOnce.Thou*

tsan:
	@cmake -S . -B build-tsan -DPOLLENLEDGE_SANITIZER=thread >/dev/null
	@$(MAKE) --no-print-directory -C build-tsan -j$(JOBS) pollenledge_test
	@build-tsan/src/libpollenledge/pollenledge_test \
	  --gtest_filter='WorkerPoolTest*:ResponseBufferTest*'

# Needs the package capnproto; the generated code is committed.
generate:
	@cd src/libpollenledge/connection/wire && \
	  capnp compile -oc++ peer.capnp && mv peer.capnp.c++ peer.capnp.cc
