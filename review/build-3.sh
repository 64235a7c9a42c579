#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/drill-3/Cargo.toml --target-dir target/review-3
