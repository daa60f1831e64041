#!/bin/sh
# Builds the stand-ins of the cases in review/6 to review/10, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/standin2 ./review/_standin2
