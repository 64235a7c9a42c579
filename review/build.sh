#!/usr/bin/env bash
# Builds the stand-ins of the scripts. Needs no network after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
  --manifest-path review/standins/Cargo.toml --target-dir target/review
