#!/bin/sh
# Puts the libraries and the packages that run on the platform into
# target/deps. The third-party libraries are installed again only when their
# list has changed.
set -eu
deps=target/deps
stamp=target/requirements.stamp
if [ ! -f "$stamp" ] || [ deploy/requirements.txt -nt "$stamp" ]; then
    rm -rf "$deps"
    python3 -m pip install -q --target "$deps" -r deploy/requirements.txt
    touch "$stamp"
fi
rm -rf "$deps"/gypsumbridge_*
cp -R packages/decisions/src/gypsumbridge_decisions \
    packages/wire/src/gypsumbridge_wire \
    packages/node/src/gypsumbridge_node \
    platform/gypsumbridge_platform "$deps/"
python3 -m compileall -q "$deps"
