#!/bin/sh
# Builds the stand-ins and cases that the scripts start. It needs rustc alone; the daemon comes from the
# build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
exec rustc --edition 2024 -O -o target/review/harness review/harness/main.rs
