#!/bin/sh
# Builds what the scripts of review/4 to review/8 start beside the programs of
# the deploy file. The stand-ins are Python programs with the standard library
# only: this checks that they compile.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
files = ["review/rig/rig.py", *sorted(glob.glob("review/[4-8]/case.py"))]
for file in files:
    with open(file, encoding="utf-8") as source:
        compile(source.read(), file, "exec")
print(f"{len(files)} stand-ins compile")
CHECK
