#!/bin/sh
# Build the stand-ins that the scripts start; needs no network.
# They are Python programs and need no compiler: this checks that each can be
# loaded with what the build of the deploy file has made.  What that build has
# compiled in this folder goes, as a folder here is a case.
set -eu
cd "$(dirname "$0")/.."
rm -rf review/__pycache__ review/[1-5]/__pycache__
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=.:target/deps python3 -c "
import features.standins.platform
import review.fleet
import review.proxy
import review.streams
import review.worker
"
