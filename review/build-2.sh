#!/bin/sh
# Builds the stand-ins of the second review's scripts, from the root of the repository: target/review-2/review-2.
# They use the standard library alone.
set -eu
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/stand-in-2/main.rs
