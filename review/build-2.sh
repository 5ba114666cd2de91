#!/bin/sh
# Builds the stand-ins of the second review. Run after the build of the deploy file, from any folder; needs no network.
set -eu
cd "$(dirname "$0")/.."
go test -tags review -c -o bin/review-standin-2 ./review/standin-2
