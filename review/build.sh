#!/bin/sh
# Builds the stand-in that the scripts of the cases start, into target/. The programs of the deploy file are built by its
# own build line.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-standin ./review/_standin
