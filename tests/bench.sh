#!/usr/bin/env bash
# Measures the policies side by side; arguments go to the bench program (bin/bench --help).
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./tests/bench
exec bin/bench "$@"
