#!/bin/sh
# Builds the stand-ins that the cases start. The senders are built by the deploy file's own build.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=0 go build -o bin/review-rig ./review/rig
