#!/bin/sh
# Builds the stand-ins of the cases of this review into target/. It needs Go and no network: rig-2 uses the standard library only.
cd "$(dirname "$0")/rig-2" || exit 2
GOWORK=off GOTOOLCHAIN=local go build -o ../../target/review-rig-2 .
