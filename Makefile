# Entry points; see README.md.
BUILD ?= build
CONSORTIUM ?= mesa-da-debulha

.PHONY: build install test demo bench model lint format format-check

install:
	bash scripts/install-packages.sh

build:
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD)

test: build
	bash scripts/test.sh $(BUILD)

demo: install build
	bash scripts/demo.sh $(BUILD) $(CONSORTIUM)

bench: build
	bash scripts/bench.sh $(BUILD)

model:
	bash scripts/model.sh

lint:
	bash scripts/lint.sh

format:
	bash scripts/format.sh -i

format-check:
	bash scripts/format.sh --dry-run -Werror
