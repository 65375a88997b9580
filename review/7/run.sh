#!/usr/bin/env bash
# A program does not start with a key of its settings that is empty. TROUBLE=0 leaves the keys out.
set -uo pipefail
cd "$(dirname "$0")/../.."
program=target/review-2/settings
[ -x "$program" ] && [ -x target/release/comfreyspread ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 110 "$program" "$folder" review/7/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
