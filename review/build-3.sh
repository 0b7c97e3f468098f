#!/usr/bin/env bash
# Builds the stand-ins of the script cases of the third review. It needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/rig-3"
mkdir -p ../../target
GOWORK=off GOTOOLCHAIN=local GOPROXY=off go build -o ../../target/rig-3 .
