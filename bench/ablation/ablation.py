"""Builds the program with one mechanism disabled at a time, and runs a command
with each build to measure the effect of the mechanism.

    ablation.py FOLDER [--only TEXT] [--after N] -- COMMAND...

FOLDER is a copy of the source tree, which this script modifies. The command
runs in FOLDER with the name of the disabled mechanism in the environment
variable ABLATION, first with all mechanisms enabled.
"""

import argparse
import os
import subprocess
import sys

from mechanisms import MECHANISMS

BUILD = ["cmake", "--build", "target"]


def build(folder):
    result = subprocess.run(BUILD, cwd=folder, capture_output=True, text=True,
                            check=False)
    if result.returncode:
        sys.exit(f"the build failed:\n{result.stdout[-2000:]}")


def run_command(folder, name, command):
    print(f"== {name}", flush=True)
    subprocess.run(command, cwd=folder, check=False,
                   env={**os.environ, "ABLATION": name})


def run_ablated(folder, mechanism, command):
    name, path, original, replacement = mechanism
    source = os.path.join(folder, path)
    with open(source, encoding="utf-8") as file:
        text = file.read()
    if text.count(original) != 1:
        sys.exit(f"{name}: {path} must contain {original!r} exactly once")
    try:
        with open(source, "w", encoding="utf-8") as file:
            file.write(text.replace(original, replacement))
        build(folder)
        run_command(folder, name, command)
    finally:
        with open(source, "w", encoding="utf-8") as file:
            file.write(text)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder")
    parser.add_argument("--only", default="",
                        help="runs only mechanisms with this in their name")
    parser.add_argument("--after", type=int, default=0,
                        help="skips so many mechanisms, and the run with all")
    parser.add_argument("command", nargs="+")
    options = parser.parse_args()
    if not options.after:
        build(options.folder)
        run_command(options.folder, "all in place", options.command)
    for mechanism in MECHANISMS[options.after:]:
        if options.only in mechanism[0]:
            run_ablated(options.folder, mechanism, options.command)


if __name__ == "__main__":
    main()
