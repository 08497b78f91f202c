"""Safeguards of the quarantine: its tests must fail without each of them."""

PARTS = ["tests/support/main.cpp", "tests/decision/quarantine_test.cpp",
         "tests/decision/quarantine_mixed_world_test.cpp"]
ARGUMENTS = []

QUARANTINE = "packages/decision/quarantine.cpp"
ENDS = "packages/decision/crash_log.cpp"

# Name, file, what is taken out, what takes its place.
MUTANTS = [
    ("what shares its ends is refused", QUARANTINE,
     "return found.ends() - found.shared() < most_ends &&",
     "return found.shared() > found.ends() &&"),
    ("trials that fail are not counted", QUARANTINE,
     "failed_trials < most_failed_trials;", "failed_trials < 100;"),
    ("each entry counts by its own copy", ENDS,
     "steps_of(other) > steps_of(one)", "steps_of(other) < 0"),
    ("requests in doubt are tried at any target", QUARANTINE,
     "if (at % own.of != own.place)", "if (own.of == 0)"),
    ("a trial begins while targets end", QUARANTINE,
     "quiet_time = std::chrono::milliseconds(500)",
     "quiet_time = std::chrono::milliseconds(0)"),
    ("all entries try at once", QUARANTINE,
     "if (first == nullptr || first->by != m_own)",
     "if (first == nullptr)"),
    ("what others saw is not waited for", QUARANTINE,
     "own_seat().of > 1)", "own_seat().of > 9999)"),
    ("what was served lately is blamed", QUARANTINE,
     "now < found->second + trusted_time;", "now < found->second;"),
    ("targets that end together count one by one", ENDS,
     "occasions.empty() || one.began >= occasions.back().ended",
     "occasions.empty() || one.ended >= occasions.back().ended"),
    ("a run that goes well refutes nothing", ENDS,
     "    one.is_refuted = true;\n", ""),
]
