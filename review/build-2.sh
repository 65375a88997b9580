#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for program in repeats settings memory heads events; do
    rustc --edition 2024 -O "review/stand-2/$program.rs" -o "target/review-2/$program"
done
