#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 13 into target/.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target
go build -o ../target/review3-rig ./standin3
