#!/bin/sh
# Builds the programs of the cases 11 to 15, with the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for number in 11 12 13 14 15; do
    [ -f "review/$number/case.rs" ] || continue
    rustc --edition 2024 -O -o "target/review-3/case-$number" "review/$number/case.rs"
done
