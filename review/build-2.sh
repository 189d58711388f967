#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The project's own programs are built by deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target
go build -o ../target/review2-bench ./standin2
