#!/bin/sh
# Builds the stand-ins of the second review's scripts.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --offline --release \
    --manifest-path review/platform/kit-2/Cargo.toml --target-dir target/review-2
