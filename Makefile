BUILD ?= build
RC_PARAMS ?= seed=20261204 max_success=100

.PHONY: all build test demo measure lint format
all: build

build:
	@scripts/install-dependencies
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD)

test: build
	@RC_PARAMS="$(RC_PARAMS)" scripts/run-tests $(BUILD)

demo: build
	@scripts/platform-demo $(BUILD)
	@scripts/demo $(BUILD)

measure: build
	@scripts/measure all

lint:
	@scripts/lint $(BUILD)

format:
	@scripts/format
