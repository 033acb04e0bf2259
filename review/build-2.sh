#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. They use the standard library alone.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --offline --locked --manifest-path review/rig-2/Cargo.toml --target-dir target/review-2
