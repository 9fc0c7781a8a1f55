# What a developer needs: demo, build, test, lint, bench, run.
CONFIG ?= examples/config.json

# The programs of the global load balancer, as deploy/system.toml builds them.
SYSTEM = -p nickeljunction-edge -p nickeljunction-controller -p nickeljunction-ctl

.PHONY: demo demo-system demo-ebb demo-storm demo-once build test lint bench run

# The main job on one machine: builds, starts a gateway and a toy world on loopback, sends mixed requests, and
# prints what was answered and why.
demo: build
	target/release/nickeljunction demo

# The whole system on one machine: builds, starts three core processes and two gateways on loopback, puts a
# configuration, sends requests, kills the leader, and ends all of it. Linux: it needs all of 127.0.0.0/8.
demo-system:
	cargo build --release --locked $(SYSTEM)
	target/release/njctl demo

# A tenant's trial lapses and is restored under traffic at nine gateways, among faults; checked, and drawn to
# target/ebb.svg. Some 50 s; not part of the tests. Linux, as above.
demo-ebb:
	cargo build --release --locked $(SYSTEM)
	target/release/njctl demo-ebb

# Operators race for versions while core machines and gateways are killed, frozen, wiped and replaced; checked, and drawn to
# target/storm.svg. Some three minutes; SEED repeats a schedule of faults. Not part of the tests. Linux, as above.
SEED ?= 1
demo-storm:
	cargo build --release --locked $(SYSTEM)
	target/release/njctl demo-storm --seed $(SEED)

# Clients book by keys while gateways and core machines are killed, frozen and wiped, and at last all power is lost; a
# reference counts runs by key. Some hundred seconds; SEED repeats a schedule of faults. Not part of the tests. Linux, as above.
demo-once:
	cargo build --release --locked $(SYSTEM)
	target/release/njctl demo-once --seed $(SEED)

build:
	cargo build --release --locked

test:
	cargo test --locked $(TEST_FLAGS)

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
