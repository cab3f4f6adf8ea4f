#!/bin/sh
# Builds the stand-ins of the second review: Python sources without a library.
# The cases start the project's programs from what the deploy file builds.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q stand_ins_2 6 7 8 9 10
