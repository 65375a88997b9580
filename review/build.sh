#!/bin/sh
# Builds the stand-ins that the scripts of the review start. Needs nothing but rustc.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand review/stand/main.rs
