#!/usr/bin/env bash
# Builds the program of the second review, which holds its cases and stand-ins, into target/. The
# programs of the deploy file are built before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review2 -o target/review-2 ./review/bed2
