"""Builds programs with one safeguard off each; the soak must tell each one.

Works on a copy of the tree and leaves the tree itself alone.
"""

import argparse
import os
import re
import shutil
import subprocess
import sys

# Name, file, what is taken out, what takes its place, troubles that show it,
# and what else the soak is told.
NARROW = ["--entries", "6", "--narrow", "3"]
MUTANTS = [
    ("sent again after an unknown fate", "packages/decision/sending_record.hpp",
     "(m_is_repeatable && m_possible_runs < m_max_targets)",
     "m_possible_runs < 3",
     ["target_mode", "target_link"]),
    ("not run is always said", "packages/serving/exchange_refusals.cpp",
     "if (!m_sends || m_sends->is_known_not_run())", "if (true)",
     ["target_mode", "target_link"]),
    ("a stray answer is taken for one's own",
     "packages/serving/target_call.cpp",
     "return !m_id.empty() && !m_metadata.id.empty() && m_metadata.id != m_id;",
     "return false;", ["target_mode"]),
    ("a leaving target goes on getting work",
     "packages/decision/target_directory.hpp",
     "return !known.is_removed && !known.value.is_leaving;",
     "return !known.is_removed;", ["replace"]),
    ("an evacuated zone goes on getting work",
     "packages/decision/target_directory.hpp",
     "return is_in_service(known) && !m_evacuated.contains(known.value.zone);",
     "return is_in_service(known);", ["evacuate"]),
    ("evacuations are not told to other entries",
     "packages/serving/peer_messages.cpp",
     "    message.set_zones_whole_at(known.complete_as_of);\n",
     "    if (known.complete_as_of > 0)\n        return;\n",
     ["evacuate", "store_of_one"]),
    ("cold targets get their full share",
     "packages/decision/cold_targets.cpp",
     "    cold.cold_until = std::max(cold.cold_until, now + left);",
     "    cold.cold_until = now;", ["cold"]),
    ("lost history is not read again", "packages/serving/source_reader.cpp",
     "        m_has_full_list = false;\n        co_return true;",
     "        co_return true;", ["store", "publish"]),
    ("a stop ends the process at once", "packages/serving/entry_process.cpp",
     "m_context.drain->may_exit(now, is_idle)",
     "is_idle || now >= m_context.drain->started_at() + 6 * drain_check_interval",
     ["stop"]),
    ("the key is passed on", "platform/request_dialect.cpp",
     "fields.erase(http::field::authorization);", "", ["publish"]),
    ("a hangup has no handler", "packages/serving/settings_reloader.cpp",
     "m_hangup(context.loop, SIGHUP)", "m_hangup(context.loop)", ["hangup"]),
    ("a stage gets one of its inputs only", "packages/serving/stage_runner.cpp",
     "        const auto& handles = m_states.at(input).handles;\n"
     "        inputs.insert(inputs.end(), handles.begin(), handles.end());",
     "        inputs.push_back(m_states.at(input).handles.front());",
     ["publish"]),
    ("a bad entry leaves the good one before it in use",
     "packages/serving/source_reader_changes.cpp",
     "            report_unreadable(change);\n            break;",
     "            break;", ["foreign_entry"]),
    ("nobody notices that a caller leaves",
     "packages/serving/caller_session.cpp",
     "    m_has_disconnected = true;", "    return;", ["target_mode"]),
    ("every word of a newer catalog asks for a copy",
     "packages/serving/peer_mesh.cpp",
     "    if (!catch_up.should_request(address, m_source.source_state(),\n"
     "                                 m_context.now()))\n"
     "        return false;\n"
     "    if (!before.empty() && before != address)\n"
     "        cancel_copy(before);\n",
     "    if (address.empty())\n        return false;\n"
     "    m_target_catch_up.note_unavailable(before);\n",
     ["grow"], NARROW),
    ("a request that ends its targets is never kept from them",
     "packages/decision/quarantine.cpp",
     "    result.outcome = admission::refused;\n", "    return result;\n",
     ["poison"], ["--entries", "6"]),
    ("entries keep what they know of ends to themselves",
     "packages/serving/target_losses.cpp",
     "if (m_peer_summary == crashes.summary())", "if (crashes.size() > 0)",
     ["poison"], ["--entries", "6"]),
    ("what was served lately is blamed all the same",
     "packages/decision/quarantine.cpp",
     "now < found->second + trusted_time;", "now < found->second;",
     ["poison"], ["--entries", "6"]),
]


def run(command, folder):
    return subprocess.run(command, cwd=folder, capture_output=True, text=True,
                          check=False)


def build(folder):
    done = run(["cmake", "--build", "build"], folder)
    if done.returncode:
        sys.exit(f"does not build:\n{done.stdout[-2000:]}")


def copy_tree(folder):
    if not os.path.exists(folder):
        os.makedirs(folder)
    listed = run(["git", "ls-files", "CMakeLists.txt", "packages", "platform",
                  "tests/soak"], ".").stdout.split()
    for path in listed:
        there = os.path.join(folder, path)
        os.makedirs(os.path.dirname(there), exist_ok=True)
        shutil.copyfile(path, there)
    run(["cmake", "-S", ".", "-B", "build", "-G", "Ninja",
         "-DMANGOFOLD_PLATFORM_ONLY=ON"], folder)


def find(folder, kinds, options, more=()):
    """Returns the first seed that shows a fault, and the fault."""
    for seed in range(1, options.seeds + 1):
        done = run([sys.executable, "tests/soak/soak.py",
                    "build/bin/mangofold-platform-entry", "--seed", str(seed),
                    "--seconds", str(options.seconds),
                    "--base", str(options.base), *more, "--only", *kinds],
                   folder)
        fault = re.search("^FAULT (.*)", done.stdout, re.MULTILINE)
        if fault:
            return seed, fault[1]
        if done.returncode:
            sys.exit(f"the soak itself failed:\n{done.stderr[-2000:]}")
    return None, ""


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", default="build-mutants")
    parser.add_argument("--seeds", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--base", type=int, default=28000)
    parser.add_argument("--only", help="mutants whose names hold this")
    options = parser.parse_args()
    copy_tree(options.folder)
    missed = 0
    for name, path, before, after, kinds, *more in MUTANTS:
        if options.only and options.only not in name:
            continue
        there = os.path.join(options.folder, path)
        with open(there, encoding="utf-8") as file:
            text = file.read()
        if before not in text:
            sys.exit(f"{name}: {path} no longer holds {before!r}")
        with open(there, "w", encoding="utf-8") as file:
            file.write(text.replace(before, after))
        build(options.folder)
        seed, fault = find(options.folder, kinds, options, *more)
        with open(there, "w", encoding="utf-8") as file:
            file.write(text)
        missed += seed is None
        print(f"{name}: " + (f"seed {seed}: {fault}" if seed else
                             "NOT FOUND"), flush=True)
    build(options.folder)
    seed, fault = find(options.folder, ["target_mode", "stop", "replace"],
                       options)
    print(f"sound program: {f'seed {seed}: {fault}' if seed else 'clean'}")
    sys.exit(1 if missed or seed else 0)


if __name__ == "__main__":
    main()
