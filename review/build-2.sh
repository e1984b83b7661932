#!/usr/bin/env bash
# Builds what the scripts in review/4 to review/8 start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/4/standin.rs
