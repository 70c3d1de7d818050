#!/bin/sh
# Builds the stand-ins of the second review's cases, after the build of the deploy file. It needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/ ./review/rig2
