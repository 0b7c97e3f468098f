#!/usr/bin/env bash
# Checks every specification and sees that every seeded fault is caught.
set -euo pipefail
cd "$(dirname "$0")"
