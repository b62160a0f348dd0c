#!/bin/bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. It needs no network.
set -eu
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS="-mod=mod -buildvcs=false" GOTOOLCHAIN=local GOPROXY=off CGO_ENABLED=0 go build -o bin/standin2 .
