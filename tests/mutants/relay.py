"""Safeguards of the relay: the search over its histories must find a broken
promise without each of them.
"""

PARTS = ["tests/relay/main.cpp", "tests/relay/simulation.cpp",
         "tests/relay/simulation_checks.cpp"]
ARGUMENTS = ["7", "100000"]  # Seed and histories.

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
