#!/bin/sh
# Builds the stand-ins of the third review; run in the project's root after the deploy file's build.
set -eu
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/stand review/stand-3/main.rs
