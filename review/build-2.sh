#!/bin/sh
# Builds the stand-ins and the player of the cases of the second review into target/review-2.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/second ./review/_second
