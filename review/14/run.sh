#!/bin/sh
# Exits with 1 if CONFIG was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/stand silent-readers review/14
