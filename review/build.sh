#!/usr/bin/env bash
# Builds the stand-ins of the review into review/bin. They use the standard library only.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/standin .
