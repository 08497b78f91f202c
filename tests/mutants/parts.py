"""Mutants that each take out a safeguard of the quarantine of prompt parts."""

PARTS = ["tests/support/main.cpp",
         "tests/decision/suspects/quarantine_parts_test.cpp",
         "tests/decision/suspects/prompt_part_simulation_test.cpp"]
# Most mutants fail in the first tests, which are short.
ARGUMENTS = ["--order-by=name", "--abort-after=1"]

QUARANTINE = "packages/decision/suspects/quarantine_parts.cpp"
CRASH_LOG = "packages/decision/crash_log.cpp"
EVIDENCE = "packages/decision/suspects/crash_evidence.cpp"
SURVIVAL = "packages/decision/suspects/run_survival.cpp"
SUSPECTS = "packages/decision/suspects/request_suspects.cpp"

# Name, file, the line that is replaced, its replacement.
MUTANTS = [
    ("parts are never refused", QUARANTINE,
     "result.outcome = admission::refused;", ""),
    ("a part is refused without failed trials", QUARANTINE,
     "return failed < quarantine::max_failed_trials &&",
     "return false && failed < quarantine::max_failed_trials &&"),
    ("trials go on for as long as they fail", QUARANTINE,
     "const bool may_try = late < max_late_sends;",
     "const bool may_try = true;"),
    ("failed trials are not counted", QUARANTINE,
     "if (counted.started_at >= known_at &&",
     "if (counted.started_at > counted.crashed_at &&"),
    ("an account stops a part for others", QUARANTINE,
     "return !account.is_empty() &&", "return false &&"),
    ("another software version gets no trial", QUARANTINE,
     "const bool has_new_version = "
     "!found.versions.contains(serving_versions());",
     "const bool has_new_version = serving_versions().is_empty();"),
    ("the part that most requests share decides", QUARANTINE,
     "checked.incidents < rarest->incidents",
     "checked.incidents > rarest->incidents"),
    ("no part explains the crashes of others", QUARANTINE,
     "return found.was_cleared &&", "return found.crashes.empty() &&"),
    ("crashes during trials of other parts count", QUARANTINE,
     "counted.other_incidents <= found.incident_count()", "true"),
    ("an answer clears crashes after it began", CRASH_LOG,
     "crash.crashed_at <= answered_at", "crash.crashed_at > instant()"),
    ("an answer clears nothing", CRASH_LOG,
     "crash.crashed_at <= answered_at", "crash.crashed_at < instant()"),
    ("suspected parts are forgotten like others", CRASH_LOG,
     "return incident_count(crash.content) >= many_incidents ? part_lifetime",
     "return incident_count(crash.content) > max_size ? part_lifetime"),
    ("accounts of other entries are dropped", CRASH_LOG,
     "merged.accounts = merged.accounts.joined(other.accounts);", ""),
    ("a part that was cleared is not known as such", CRASH_LOG,
     "was_cleared = was_cleared || crash.is_refuted;",
     "was_cleared = was_cleared && crash.is_refuted;"),
    ("a popular part explains the crashes of a bad one", EVIDENCE,
     "(!own.is_part || own.was_cleared || !known.was_cleared) &&", ""),
    ("an answer without events has survived", SURVIVAL,
     "return first_event_at && now >= *first_event_at",
     "return !first_event_at || now >= *first_event_at"),
    ("the last part of a prompt counts, too", SUSPECTS,
     "index + 1 < ids.size()", "index < ids.size()"),
    ("a long prompt has thousands of parts", SUSPECTS,
     "if (ids.size() > max_parts + 1)", "if (ids.empty())"),
]
