#!/usr/bin/env bash
# Builds and runs the bench program, which compares the policies for choosing endpoints by measurements. All arguments
# are passed to it; bin/bench --help lists them.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./tests/bench
exec bin/bench "$@"
