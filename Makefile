# `make demo`, `make lint` and `make test` do all that is needed on a fresh Debian machine: install, build, run.
# Compiles so many files at once.
JOBS ?= $(shell nproc)

.PHONY: demo fleet-demo test build install format lint

install:
	tools/install

build: install
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j$(JOBS)

demo: build
	build/meadowgauge-testbed run experiments/demo.toml --out build/demo

# Six balancers that share a limit while letters between them are cut; plots of what was admitted against it.
fleet-demo: build
	build/meadowgauge-testbed run experiments/fleet-demo.toml shared --out build/fleet-demo

# Writes every source as .clang-format says.
format: install
	find src tests bench -name '*.[ch]pp' | xargs clang-format -i

# Formatting, layers, self-contained headers and clang-tidy; nothing is changed.
lint: install
	tools/lint

test: install
	cmake -B build-test -DCMAKE_BUILD_TYPE=Debug -DMEADOWGAUGE_TESTS=ON -DMEADOWGAUGE_SANITIZE=ON
	cmake --build build-test -j$(JOBS)
	filter=; if [ -f KNOWN-RED.txt ]; then filter=$$(tools/known-red KNOWN-RED.txt build-test/tests) || exit 1; fi; \
	  if [ -n "$$filter" ]; then export GTEST_FILTER="$$filter"; fi; ctest --test-dir build-test --output-on-failure
