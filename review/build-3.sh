#!/bin/bash
# Builds the stand-ins of the third review, review/11 and later, from review/_standin3.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin3 ./review/_standin3
