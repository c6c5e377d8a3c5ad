#!/bin/sh
# Builds the stand-ins of the second review's cases. It is run at the repository's root, after the
# build of the deploy file, and needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -mod=readonly -o target/review-standin2 ./review/standin2
