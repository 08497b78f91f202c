#!/bin/sh
# Builds what the scripts start beside the programs of the deploy file. The
# stand-ins are Python programs with the standard library only: this checks that
# they, and the modules of tests/soak that they use, compile.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
files = ["tests/soak/wire.py", "tests/soak/store.py", "review/lib/rig.py",
         *glob.glob("review/[0-9]/case.py")]
for file in files:
    with open(file, encoding="utf-8") as source:
        compile(source.read(), file, "exec")
print(f"{len(files)} stand-ins compile")
CHECK
