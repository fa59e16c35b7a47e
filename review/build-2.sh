#!/bin/sh
# Builds the stand-ins that the scripts of the cases 4 to 8 start. Needs nothing but the compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standin review/standin-2/main.rs
