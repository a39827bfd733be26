#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They need no crate beside the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/1/standin/main.rs -o target/review/cases
