#!/usr/bin/env bash
# One engine that repeats an event makes processes exceed their memory. TROUBLE=0: nine sound engines.
set -uo pipefail
cd "$(dirname "$0")/../.."
program=target/review-2/repeats
[ -x "$program" ] && [ -x target/release/comfreyspread ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 110 "$program" "$folder" review/6/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
