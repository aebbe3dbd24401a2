#!/usr/bin/env bash
# Builds what the scripts of the third review start beside the programs of the deploy file: one program with the stand-ins
# of the store, the workers and the clients.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-third ./review/_third
