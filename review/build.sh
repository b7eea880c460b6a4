#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases into target/review, after the build of the
# deploy file. The store and its stand-in code are the project's own (package standin).
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -ldflags=-linkmode=external -tags review -o target/review/stand ./review
