#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs the toolchain only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
