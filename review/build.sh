#!/bin/sh
# Builds the stand-ins of the cases: the store, workers and requesters, standard library only.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/platform/standin/Cargo.toml --target-dir target/review
