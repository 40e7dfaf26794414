#!/bin/sh
# Build the stand-ins that the scripts start; needs no network.
# They are Python programs, so this compiles them, and checks that the build
# of the deploy file has made what they import.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=.:target/deps python3 -c "import h11, trio"
python3 -m compileall -q features/standins review
