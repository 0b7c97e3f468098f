#!/bin/sh
# Builds the stand-ins that the cases start. It needs no network: the module has no dependencies.
set -e
cd "$(dirname "$0")/rig"
GOWORK=off go build -o ../bin/rig .
