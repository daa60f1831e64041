#!/usr/bin/env bash
# Builds the stand-ins of the cases that are scripts. Run it in the repository's root, after
# the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/_standin
