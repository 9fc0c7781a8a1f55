# What a developer needs: demo, build, test, lint, bench, run.
CONFIG ?= examples/config.json

.PHONY: demo build test lint bench run

# The main job on one machine: builds, starts a gateway and a toy world on loopback, sends mixed requests, and
# prints what was answered and why.
demo: build
	target/release/nickeljunction demo

build:
	cargo build --release --locked

test:
	cargo test --locked

lint:
	cargo fmt --check
	cargo clippy --all-targets --locked -- -D warnings

# Figures of the operators' pages; not part of the tests. Needs the machine to itself.
bench:
	cargo bench --locked -p nickeljunction-config --bench guard
	cargo bench --locked -p nickeljunction --bench changes

# The gateway on CONFIG. `nickeljunction demo --keep` has a world for it.
run: build
	EDGE_CONFIG=$(CONFIG) exec target/release/nickeljunction
