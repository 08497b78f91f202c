"""Builds the program without one mechanism after the other, and runs a command
with each: to see what a mechanism is worth.

    ablation.py FOLDER [--only TEXT] [--after N] -- COMMAND...

FOLDER is a copy of the tree, which this changes; the command runs there with
the mechanism's name in ABLATION, first with all of them in place.
"""

import argparse
import os
import subprocess
import sys

from mechanisms import MECHANISMS

BUILD = ["cmake", "--build", "target"]


def build(folder):
    done = subprocess.run(BUILD, cwd=folder, capture_output=True, text=True,
                          check=False)
    if done.returncode:
        sys.exit(f"the build fails:\n{done.stdout[-2000:]}")


def play(folder, name, command):
    print(f"== {name}", flush=True)
    subprocess.run(command, cwd=folder, check=False,
                   env={**os.environ, "ABLATION": name})


def without(folder, mechanism, command):
    name, path, before, after = mechanism
    source = os.path.join(folder, path)
    with open(source, encoding="utf-8") as file:
        text = file.read()
    if text.count(before) != 1:
        sys.exit(f"{name}: {path} does not hold {before!r} once")
    try:
        with open(source, "w", encoding="utf-8") as file:
            file.write(text.replace(before, after))
        build(folder)
        play(folder, name, command)
    finally:
        with open(source, "w", encoding="utf-8") as file:
            file.write(text)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder")
    parser.add_argument("--only", default="", help="part of a name")
    parser.add_argument("--after", type=int, default=0,
                        help="leaves out so many at the beginning")
    parser.add_argument("command", nargs="+")
    options = parser.parse_args()
    if not options.after:
        build(options.folder)
        play(options.folder, "all in place", options.command)
    for mechanism in MECHANISMS[options.after:]:
        if options.only in mechanism[0]:
            without(options.folder, mechanism, options.command)


if __name__ == "__main__":
    main()
