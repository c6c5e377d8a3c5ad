#!/bin/bash
# Builds the stand-ins that the cases start. The gateway is built by the command of
# deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
exec go build -mod=readonly -o review/bin/ ./review/standin
