"""Takes one safeguard after the other out of the real modules; the search over
the relay's histories must find a broken promise each time, and none without.
"""

import argparse
import concurrent.futures
import os
import subprocess
import sys
import tempfile

DIRECTORY = "packages/decision/target_directory.cpp"
CATCH_UP = "packages/decision/catch_up.cpp"

# Name, file, what is taken out, what takes its place.
MUTANTS = [
    ("an older word wins", DIRECTORY,
     "if (one.revision <= known.newest)", "if (one.revision == 0)"),
    ("a target that left is listed again", DIRECTORY,
     "known.value.is_leaving = known.left == one.start;",
     "known.value.is_leaving = one.is_leaving;"),
    ("having left counts for the id", DIRECTORY,
     "known.value.is_leaving = known.left == one.start;",
     "known.value.is_leaving = known.left.has_value();"),
    ("a whole list says nothing of what it lacks", DIRECTORY,
     "one.revision > m_whole_at || is_told_before", "true"),
    ("a target that lapsed is not gone for others' word", DIRECTORY,
     "known.has_lapsed ? known.value.revision : known.newest", "known.newest"),
    ("an older word of having left is no news", DIRECTORY,
     "return one.is_leaving && take_leaving(known, one);", "return false;"),
    ("what lapsed never ends", DIRECTORY,
     "        if (!known.has_lapsed)\n            continue;",
     "        if (id != known.value.start.id || true)\n            continue;"),
    ("a removed target may always come back", DIRECTORY,
     "const bool may_be_lapse = is_unsettled(now) &&",
     "const bool may_be_lapse ="),
    ("a bad entry leaves the good one in use", DIRECTORY,
     "    const std::uint64_t before = m_changes;\n    note_gone(id, revision);",
     "    const std::uint64_t before = m_changes + 0 * revision;"),
    ("a silent holder is waited for", CATCH_UP,
     "return now >= m_heard_at + m_patience;",
     "return now < m_heard_at + m_patience - m_patience;"),
    ("patience grows without an end", CATCH_UP,
     "return std::min(value * 2, longest);",
     "return std::max(value * 2, longest);"),
    ("a copy is under way when nothing is lacking", CATCH_UP,
     "    m_holder.clear();\n    m_patience = first_patience;",
     "    m_patience = first_patience;"),
]


def run(command):
    return subprocess.run(command, capture_output=True, text=True, check=False)


class Search:
    def __init__(self, options, folder):
        self.options = options
        self.folder = folder
        self.base = [options.compiler, "-std=c++20", "-O1", "-Ipackages"]
        self.parts = [self.compile(f"tests/relay/{name}.cpp", name)
                      for name in ("main", "world", "world_checks")]

    def compile(self, source, name):
        target = os.path.join(self.folder, name + ".o")
        done = run([*self.base, "-c", source, "-o", target])
        if done.returncode:
            sys.exit(f"{name} does not build:\n{done.stderr[-2000:]}")
        return target

    def finds(self, number, mutant):
        """Whether the search breaks a promise in the program."""
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
        done = run([self.options.compiler, *self.parts, made,
                    *self.options.libraries, "-o", program])
        if done.returncode:
            sys.exit(f"{name} does not link:\n{done.stderr[-2000:]}")
        done = run([program, str(self.options.seed),
                    str(self.options.histories)])
        return done.returncode == 1


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("compiler")
    parser.add_argument("libraries", nargs=argparse.REMAINDER)
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--histories", type=int, default=100000)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        search = Search(options, folder)
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            found = list(pool.map(lambda one: search.finds(*one),
                                  enumerate(MUTANTS)))
    for mutant, is_found in zip(MUTANTS, found):
        print(f"{mutant[0]}: {'found' if is_found else 'NOT FOUND'}")
    sys.exit(0 if all(found) else 1)


if __name__ == "__main__":
    main()
