#!/bin/sh
# Builds the stand-ins of the review's cases with the toolchain that builds the project; no dependency.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
