#!/bin/sh
# Builds the stand-ins of all cases: one program of this folder, with nothing but the compiler.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target/review
exec rustc --edition 2024 -O -o ../target/review/rig rig/main.rs
