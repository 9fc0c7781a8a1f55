# What a developer needs: build, test, lint, run, toy.
CONFIG ?= examples/config.json

.PHONY: build test lint run toy

build:
	cargo build --release --locked

test:
	cargo test --locked

lint:
	cargo fmt --check
	cargo clippy --all-targets --locked -- -D warnings

# The gateway on CONFIG, by default that of the toy world.
run: build
	EDGE_CONFIG=$(CONFIG) exec target/release/nickeljunction

# Two toy booking servers, discovery and a counter, for `make run` to talk to.
toy:
	cargo run --locked -p nickeljunction --example toy
