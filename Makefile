.PHONY: build test lint run toy ask

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# Runs one router with the example configuration.
run: build
	LB_CONFIG=crates/router/examples/config.json target/release/woadhook

# Runs two toy engines and a toy bulletin for that router; send it a query with `make ask`.
toy:
	cargo run --locked -p woadhook-router --example toy -- serve

ask:
	cargo run --locked -p woadhook-router --example toy -- ask report "select id from sales_17.orders"
