#!/bin/sh
# Bundles the scripts of the cases with the project's own stand-ins into target/review/.
set -e
cd "$(dirname "$0")/.."
node review/common/build.mjs
