#!/bin/bash
# Builds the stand-in that the scripts of cases 4 to 6 start. It needs nothing but the compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/drill review/standin-2/main.rs
