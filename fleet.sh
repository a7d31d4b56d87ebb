#!/usr/bin/env bash
# Builds everything and starts a small local fleet; Ctrl-C ends it.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --workspace --bins --examples --locked
exec target/debug/examples/fleet "$@"
