#!/bin/sh
# Builds the stand-ins of review/ after the build of deploy/balancer.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go test -tags review -c -o bin/review-standin ./review/standin
