#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and later start. Runs after
# the build of the deploy file, and needs no network.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out"
cp -R packages/standins/src/gypsumbridge_standins "$out/"
PYTHONPATH=target/deps:$out python3 -m compileall -q "$out"
