#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 4 to 8 start: one program without dependencies.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/common-2/main.rs
