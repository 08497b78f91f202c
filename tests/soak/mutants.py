"""Builds mutants, each without one safeguard; the soak must detect each.

Works on a copy of the tree and leaves the tree itself unchanged.
"""

import argparse
import os
import re
import shutil
import subprocess
import sys

# Name, file, source text, its replacement, kinds of disturbances that expose
# the mutant, further arguments of the soak, and a part of the fault that must
# show it; instead of kinds, the name of another soak that exposes it, and the
# arguments are its own.
TOTAL_LOSS = "total_loss.py"
KILLED_TARGETS = "killed_targets.py"
BROKEN_ANSWERS = "broken_answers.py"
LONG_ROLL = ["--long-streams", "--entries", "6", "--callers", "48",
             "--seconds", "14"]
LOSSES = ["kill_all", "loss_series", "break_streams", "keeper"]
NARROW = ["--entries", "6", "--narrow", "3"]
MUTANTS = [
    ("non-repeatable requests are sent again",
     "packages/decision/sending_record.hpp",
     "(m_is_repeatable && m_possible_runs < m_max_targets)",
     "m_possible_runs < 3",
     ["target_mode", "target_link"]),
    ("each failed request is reported as not executed",
     "packages/serving/exchange_refusals.cpp",
     "if (!m_sends || m_sends->is_known_not_run())", "if (true)",
     ["target_mode", "target_link"]),
    ("a response to another request is accepted",
     "packages/decision/answer_match.hpp",
     "sent_id.empty() || sent_id == stated_id", "true", ["target_mode"]),
    ("calls of pieces carry no id", "packages/serving/piece_batcher.cpp",
     "std::move(request), m_context.call_ids.next(), timeout",
     "std::move(request), std::string(), timeout",
     ["late_answers"], ["--seconds", "20"], "input of"),
    ("releases name no target", "packages/serving/piece_batcher_targets.cpp",
     "sent_call->send_request(\n"
     "            m_context.protocol.make_release_request(handles),\n"
     "            m_context.call_ids.next(), release_timeout)",
     "sent_call->send_unaddressed(\n"
     "            m_context.protocol.make_release_request(handles),\n"
     "            release_timeout)",
     ["publish"], [], "names no target"),
    ("a draining target still gets work",
     "packages/decision/target_directory.hpp",
     "return !known.is_removed && !known.value.is_leaving &&\n"
     "               known.announced_leaving != known.value.incarnation;",
     "return !known.is_removed;", ["replace"]),
    ("an evacuated zone still gets work",
     "packages/decision/target_directory.hpp",
     "               !m_evacuated.contains(known.value.zone) &&\n", "",
     ["evacuate"]),
    ("evacuations are not sent to other entries",
     "packages/serving/peer_messages.cpp",
     "    message.set_zones_whole_at(known.complete_as_of);\n",
     "    if (known.complete_as_of > 0)\n        return;\n",
     ["evacuate", "store_of_one"]),
    ("cold targets get their full share",
     "packages/decision/cold_targets.cpp",
     "    cold.cold_until = std::max(cold.cold_until, now + left);",
     "    cold.cold_until = now;", ["cold"]),
    ("each entry uses the whole limit of a target",
     "packages/decision/request_limits.cpp",
     "    const fleet_position position = "
     "limit.position.value_or(fleet_position());\n",
     "    const fleet_position position;\n", ["limit"],
     ["--entries", "6"]),
    ("targets that ask for rest get requests",
     "packages/serving/exchange_targets.cpp",
     "    if (rests_until > next.at)", "    if (rests_until < now)", ["rest"]),
    ("no full read after lost history", "packages/serving/source_reader.cpp",
     "        m_has_full_list = false;\n        co_return true;",
     "        co_return true;", ["store", "publish"]),
    ("a stopping process exits at once", "packages/serving/entry_process.cpp",
     "m_context.drain->may_exit(now, is_idle)",
     "is_idle || now >= m_context.drain->started_at() + "
     "6 * drain_check_interval",
     ["stop"]),
    ("the API key is forwarded to targets", "platform/request_dialect.cpp",
     "fields.erase(http::field::authorization);", "", ["publish"]),
    ("SIGHUP has no handler", "packages/serving/settings_reloader.cpp",
     "m_hangup(context.loop, SIGHUP)", "m_hangup(context.loop)", ["hangup"]),
    ("a stage gets only one of its inputs",
     "packages/serving/stage_runner.cpp",
     "        const auto& handles = m_states.at(input).handles;\n"
     "        inputs.insert(inputs.end(), handles.begin(), handles.end());",
     "        inputs.push_back(m_states.at(input).handles.front());",
     ["publish"]),
    ("an invalid record leaves its valid predecessor in use",
     "packages/serving/source_reader_changes.cpp",
     "            report_unreadable(change);\n            break;",
     "            break;", ["foreign_entry"]),
    ("a disconnected caller goes unnoticed",
     "packages/serving/caller_session.cpp",
     "    m_has_disconnected = true;", "    return;", ["target_mode"]),
    ("every announcement of a newer catalog requests a copy",
     "packages/serving/peer_mesh.cpp",
     "    if (!catch_up.should_request(address, m_source.source_state(),\n"
     "                                 m_context.now()))\n"
     "        return false;\n"
     "    if (!before.empty() && before != address)\n"
     "        cancel_copy(before);\n",
     "    if (address.empty())\n        return false;\n"
     "    m_target_catch_up.note_unavailable(before);\n",
     ["grow"], NARROW),
    ("a request that crashes targets is never quarantined",
     "packages/decision/quarantine.cpp",
     "    result.outcome = admission::refused;\n", "    return result;\n",
     ["poison"], ["--entries", "6"]),
    ("entries do not share the crashes of targets",
     "packages/serving/target_losses.cpp",
     "if (m_peer_summary == crashes.summary())", "if (crashes.size() > 0)",
     ["poison"], ["--entries", "6"]),
    ("recently served requests are blamed for crashes, too",
     "packages/decision/quarantine.cpp",
     "now < found->second + trusted_time;", "now < found->second;",
     ["poison"], ["--entries", "6"]),
    ("different requests with one part crash targets for good",
     "packages/decision/suspects/quarantine_parts.cpp",
     "    result.outcome = admission::refused;\n", "",
     ["bad_part"], ["--entries", "6", "--copies", "6"]),
    ("a part that all requests share is refused, too",
     "packages/decision/crash_log.cpp",
     "crash.crashed_at <= answered_at", "crash.crashed_at < instant()",
     ["bad_part"], ["--entries", "6", "--copies", "6"]),
    ("answers that are given up at the head are not watched",
     "packages/serving/exchange_quarantine.cpp",
     "    call.give_up();\n", "    call.abort();\n    co_return;\n",
     ["bad_part"], ["--entries", "6", "--copies", "6"]),
    ("a stream that ends with its connection is always whole",
     "packages/serving/exchange_answers.cpp",
     "if (!events.is_between_events() || !m_is_head_sent)",
     "if (!m_is_head_sent)", ["break_streams"]),
    ("streams take all targets for one version", "platform/target_entry.cpp",
     'required_text(value, "version"));',
     'required_text(value, "version").substr(0, 1));', ["break_streams"]),
    ("a stream is taken up at any version",
     "packages/serving/exchange_streams.cpp",
     "    m_origin = std::move(found.origin);\n", "",
     ["kill", "break_streams"]),
    ("no entry keeps records of the streams of others",
     "packages/serving/stream_registry.cpp",
     "    note_stream_origins(message, m_context.now(), m_records,\n"
     "                        m_context.versions);\n",
     "    (void)message;\n", ["kill", "break_streams"],
     ["--callers", "40", "--copies", "5", "--seconds", "25",
      "--without-keepers"]),
    ("records are not sent to record keepers",
     "packages/serving/stream_registry.cpp",
     "m_channel.send(holder, frame);\n}\n",
     "if (!m_channel.is_record_keeper(holder))\n"
     "            m_channel.send(holder, frame);\n}\n", TOTAL_LOSS),
    ("record keepers are not asked for records",
     "packages/serving/stream_registry.cpp",
     "        if (is_new || may_be_lost)",
     "        if (is_new && !m_channel.is_record_keeper(holder))", TOTAL_LOSS),
    ("a record keeper forgets its records",
     "packages/serving/records/record_keeper.cpp",
     "        note_stream_origins(frame.stream_origins(), now, m_records, "
     "m_versions);\n",
     "", LOSSES, ["--entries", "5", "--copies", "5", "--seconds", "20"]),
    ("a stream whose version is not known goes on at any",
     "packages/serving/exchange_streams.cpp",
     "    if (!is_of_route)\n    {",
     "    if (!is_of_route)\n        co_return true;\n"
     "    if (false)\n    {",
     LOSSES, ["--entries", "5", "--copies", "5", "--seconds", "20"]),
    ("a record keeper answers with one version for all streams",
     "packages/serving/records/record_keeper.cpp",
     "    answer_from_records(question, m_records, m_time.now(),\n"
     "                        *frame.mutable_stream_answer());\n",
     "    answer_from_records(question, m_records, m_time.now(),\n"
     "                        *frame.mutable_stream_answer());\n"
     "    if (frame.stream_answer().has_origin())\n"
     "        frame.mutable_stream_answer()->mutable_origin()->set_version(\n"
     "            \"v1\");\n", TOTAL_LOSS),
    ("a stopping entry takes requests by the longest answer it has seen",
     "packages/serving/exchange_admission.cpp",
     "return {typical, remaining_time()};",
     "return {typical, std::min(remaining_time(), longest_answer_time())};",
     ["long_roll", "hangups"], LONG_ROLL, "lost by .*passed on after"),
    ("the idle limit ends requests that are in progress",
     "packages/serving/caller_session.cpp",
     "        m_is_handling = true;\n",
     "        m_is_handling = true;\n"
     "        m_write_timer.expires_after(m_handler.limits().idle_time);\n"
     "        m_write_timer.async_wait(\n"
     "            [weak = weak_from_this()](const error_code& fault)\n"
     "            {\n"
     "                const auto session = weak.lock();\n"
     "                if (!fault && session)\n"
     "                    session->reset_connection();\n"
     "            });\n",
     ["publish"], LONG_ROLL, "in touch and not answered"),
    ("the ranks of routes are reversed", "platform/catalog_reader.cpp",
     'route.priority = value.value("priority", 0U);',
     'route.priority = 9U - value.value("priority", 0U);',
     ["uneven"], ["--entries", "6"]),
    ("ends are never checked", "packages/serving/exchange_answers.cpp",
     "    if (!call.ends_with_connection())\n"
     "        co_return target_call::outcome::ok;\n    const instant",
     "    if (m_witness || !call.ends_with_connection())\n"
     "        co_return target_call::outcome::ok;\n    const instant",
     KILLED_TARGETS, ["--seconds", "8"], "complete after"),
    ("a refused question counts as an answer",
     "packages/decision/answers/end_check.cpp",
     "    case life_sign::own_answer:\n",
     "    case life_sign::own_answer:\n    case life_sign::refused:\n"
     "    case life_sign::lost:\n",
     KILLED_TARGETS, ["--seconds", "8"], "complete after"),
    ("a sound unframed end is never believed",
     "packages/decision/answers/end_check.cpp",
     "    case life_sign::own_answer:\n        return answer_end::whole;",
     "    case life_sign::own_answer:\n        return answer_end::broken_off;",
     KILLED_TARGETS, ["--seconds", "8"], "undisturbed, but"),
    ("a reset that a write reports is an orderly end",
     "packages/serving/target_connection.cpp",
     "fault == asio::error::eof && !m_is_broken", "fault == asio::error::eof",
     BROKEN_ANSWERS, [], "complete after"),
    ("a status that is none is taken for an interim one",
     "packages/serving/target_call.cpp",
     "if (runtime::is_interim_status(status))", "if (status < 200)",
     BROKEN_ANSWERS, [], "another answer"),
    ("folded lines are joined", "packages/serving/target_call.cpp",
     "if (has_folded_line(lines))",
     "if (has_folded_line(lines) && lines.empty())",
     BROKEN_ANSWERS, [], "another answer"),
]


def run(command, folder):
    return subprocess.run(command, cwd=folder, capture_output=True, text=True,
                          check=False)


def build(folder):
    result = run(["cmake", "--build", "build"], folder)
    if result.returncode:
        sys.exit(f"the build failed:\n{result.stdout[-2000:]}")


def copy_tree(folder):
    if not os.path.exists(folder):
        os.makedirs(folder)
    tracked = run(["git", "ls-files", "CMakeLists.txt", "packages", "platform",
                   "tests/soak"], ".").stdout.split()
    for path in tracked:
        path_in_copy = os.path.join(folder, path)
        os.makedirs(os.path.dirname(path_in_copy), exist_ok=True)
        shutil.copyfile(path, path_in_copy)
    run(["cmake", "-S", ".", "-B", "build", "-G", "Ninja",
         "-DMANGOFOLD_PLATFORM_ONLY=ON"], folder)


def find_fault(folder, kinds, options, extra_arguments=(), shown_as=""):
    """Returns the first seed that shows a fault, and the fault."""
    for seed in range(1, options.seeds + 1):
        program = kinds if isinstance(kinds, str) else "soak.py"
        arguments = ["--seed", str(seed), "--base", str(options.base)]
        if program == "soak.py":
            arguments += ["--seconds", str(options.seconds), "--only", *kinds]
        result = run([sys.executable, f"tests/soak/{program}",
                      "build/bin/mangofold-platform-entry",
                      *arguments, *extra_arguments], folder)
        fault = re.search(f"^FAULT (.*{shown_as}.*)", result.stdout,
                          re.MULTILINE)
        if fault:
            return seed, fault[1]
        if result.returncode and "FAULT" not in result.stdout:
            sys.exit(f"the soak failed:\n{result.stderr[-2000:]}")
    return None, ""


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", default="build-mutants")
    parser.add_argument("--seeds", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--base", type=int, default=28000)
    parser.add_argument("--only",
                        help="only mutants whose names contain this text")
    options = parser.parse_args()
    copy_tree(options.folder)
    missed_count = 0
    for name, path, original, replacement, kinds, *extra_arguments in MUTANTS:
        if options.only and options.only not in name:
            continue
        path_in_copy = os.path.join(options.folder, path)
        with open(path_in_copy, encoding="utf-8") as file:
            text = file.read()
        if original not in text:
            sys.exit(f"{name}: {path} does not contain {original!r}")
        with open(path_in_copy, "w", encoding="utf-8") as file:
            file.write(text.replace(original, replacement))
        build(options.folder)
        seed, fault = find_fault(options.folder, kinds, options,
                                 *extra_arguments)
        with open(path_in_copy, "w", encoding="utf-8") as file:
            file.write(text)
        missed_count += seed is None
        print(f"{name}: " + (f"seed {seed}: {fault}" if seed else
                             "NOT FOUND"), flush=True)
    build(options.folder)
    seed, fault = find_fault(options.folder,
                             ["target_mode", "stop", "replace"], options)
    print(f"unchanged program: {f'seed {seed}: {fault}' if seed else 'clean'}")
    sys.exit(1 if missed_count or seed else 0)


if __name__ == "__main__":
    main()
