#!/bin/sh
# The stand-ins are plain modules without dependencies; this checks that they can be read.
set -e
cd "$(dirname "$0")"
node --check harness.mjs
for script in [1-5]/case.mjs; do node --check "$script"; done
