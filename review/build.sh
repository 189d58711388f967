#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The build of deploy/system.toml comes first. The stand-ins are
# a module of their own, so that "./..." in the root leaves them out.
set -euo pipefail
cd "$(dirname "$0")/.."
go -C review build -ldflags=-linkmode=external -o ../target/review-standin ./standin
