#!/usr/bin/env bash
# Builds the stand-ins of the cases, with the compiler alone, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.rs; do
    n=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O -o "target/review/case-$n" "$case"
done
