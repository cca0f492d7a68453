#!/usr/bin/env bash
# Builds what the script cases start: the box as the deploy file builds it, and the driver with the
# project's stand-ins.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --package ravenspoke-box
cargo build --release --locked --manifest-path review/driver/Cargo.toml --target-dir target
