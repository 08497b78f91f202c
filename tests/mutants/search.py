"""Takes one safeguard after the other out of the real modules; the tests named
beside them must fail each time.
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
        self.base = [compiler, "-std=c++20", "-O1", "-Ipackages"]
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            self.parts = list(pool.map(
                lambda one: self.compile(one, one.replace("/", "-")),
                suite.PARTS))

    def compile(self, source, name):
        target = os.path.join(self.folder, name + ".o")
        done = run([*self.base, "-c", source, "-o", target])
        if done.returncode:
            sys.exit(f"{name} does not build:\n{done.stderr[-2000:]}")
        return target

    def finds(self, number, mutant):
        """Whether the tests fail in the program."""
        name, path, before, after = mutant
        with open(path, encoding="utf-8") as file:
            text = file.read()
        if before not in text:
            sys.exit(f"{name}: {path} no longer holds {before!r}")
        source = os.path.join(self.folder, f"{number}.cpp")
        with open(source, "w", encoding="utf-8") as file:
            file.write(text.replace(before, after, 1))
        made = self.compile(source, str(number))
        program = os.path.join(self.folder, str(number))
        done = run([self.compiler, *self.parts, made, *self.libraries, "-o",
                    program])
        if done.returncode:
            sys.exit(f"{name} does not link:\n{done.stderr[-2000:]}")
        return run([program, *self.suite.ARGUMENTS]).returncode == 1


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("suite", help="a module beside this one")
    parser.add_argument("compiler")
    parser.add_argument("libraries", nargs=argparse.REMAINDER)
    options = parser.parse_args()
    suite = importlib.import_module(options.suite)
    with tempfile.TemporaryDirectory() as folder:
        search = Search(suite, options.compiler, options.libraries, folder)
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            found = list(pool.map(lambda one: search.finds(*one),
                                  enumerate(suite.MUTANTS)))
    for mutant, is_found in zip(suite.MUTANTS, found):
        print(f"{mutant[0]}: {'found' if is_found else 'NOT FOUND'}")
    sys.exit(0 if all(found) else 1)


if __name__ == "__main__":
    main()
