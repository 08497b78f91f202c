"""Mutation tests: removes one safeguard at a time from the sources, and checks
that the tests named in the suite fail.
"""

import argparse
import concurrent.futures
import importlib
import os
import subprocess
import sys
import tempfile


def run(command):
    return subprocess.run(command, capture_output=True, text=True, check=False)


class Search:
    def __init__(self, suite, compiler, libraries, folder):
        self.suite = suite
        self.libraries = libraries
        self.folder = folder
        self.compiler = compiler
        self.base = [compiler, "-std=c++20", "-O1", "-Ipackages", "-Itests"]
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            self.parts = list(pool.map(
                lambda part: self.compile(part, part.replace("/", "-")),
                suite.PARTS))

    def compile(self, source, name):
        target = os.path.join(self.folder, name + ".o")
        done = run([*self.base, "-c", source, "-o", target])
        if done.returncode:
            sys.exit(f"{name} does not build:\n{done.stderr[-2000:]}")
        return target

    def is_detected(self, number, mutant):
        """Returns whether the tests fail with the mutant."""
        name, path, original, replacement = mutant
        with open(path, encoding="utf-8") as file:
            text = file.read()
        if original not in text:
            sys.exit(f"{name}: {path} no longer contains {original!r}")
        source = os.path.join(self.folder, f"{number}.cpp")
        with open(source, "w", encoding="utf-8") as file:
            file.write(text.replace(original, replacement, 1))
        mutated = self.compile(source, str(number))
        program = os.path.join(self.folder, str(number))
        done = run([self.compiler, *self.parts, mutated, *self.libraries, "-o",
                    program])
        if done.returncode:
            sys.exit(f"{name} does not link:\n{done.stderr[-2000:]}")
        return run([program, *self.suite.ARGUMENTS]).returncode == 1


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("suite", help="the name of a suite in this folder")
    parser.add_argument("compiler")
    parser.add_argument("libraries", nargs=argparse.REMAINDER)
    options = parser.parse_args()
    suite = importlib.import_module(options.suite)
    with tempfile.TemporaryDirectory() as folder:
        search = Search(suite, options.compiler, options.libraries, folder)
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            detected = list(pool.map(
                lambda numbered: search.is_detected(*numbered),
                enumerate(suite.MUTANTS)))
    for mutant, is_detected in zip(suite.MUTANTS, detected):
        print(f"{mutant[0]}: {'found' if is_detected else 'NOT FOUND'}")
    sys.exit(0 if all(detected) else 1)


if __name__ == "__main__":
    main()
