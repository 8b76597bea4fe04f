#!/bin/bash
# Builds the stand-ins of the second review. Run it in the root of the repository.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-cases review/stand-ins-2/main.rs
