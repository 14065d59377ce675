#!/bin/sh
# Builds the stand-ins of the scripts, with the compiler alone and without a network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/stand/case*.rs; do
    rustc --edition 2024 -O -A dead_code -A unused "$case" -o "target/review/$(basename "$case" .rs)"
done
