#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases of the second review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -C opt-level=2 -o target/review-2/stand review/stand-2/main.rs
