"""Safeguards of evacuated zones and cold targets: their tests must fail without
each of them.
"""

PARTS = ["tests/support/main.cpp", "tests/decision/zone_evacuations_test.cpp",
         "tests/decision/zone_evacuations_simulation_test.cpp",
         "tests/decision/cold_targets_test.cpp"]
ARGUMENTS = []

ZONES = "packages/decision/zone_evacuations.cpp"
COLD = "packages/decision/cold_targets.cpp"
DIRECTORY = "packages/decision/target_directory.cpp"

# Name, file, what is taken out, what takes its place.
MUTANTS = [
    ("an older word wins", ZONES, "one.revision <= known.revision",
     "one.revision == known.revision"),
    ("what a whole list lacks stays evacuated", ZONES,
     "if (!named.contains(zone) && known.revision < theirs.whole_at)",
     "if (zone.empty())"),
    ("a list read earlier ends an evacuation", ZONES,
     "if (!named.contains(zone) && known.revision < theirs.whole_at)",
     "if (!named.contains(zone) && theirs.whole_at > 0)"),
    ("zones taken back are not told to others", ZONES,
     "        own.words.push_back(one);",
     "        if (one.is_evacuated)\n            own.words.push_back(one);"),
    ("who has read nothing claims all", ZONES,
     "known.revision < theirs.whole_at)", "known.revision != theirs.whole_at)"),
    ("all is known before it was read", ZONES,
     "m_whole_at = std::max(m_whole_at, theirs.whole_at);",
     "m_whole_at = std::max<std::uint64_t>(1, theirs.whole_at);"),
    ("a service is evacuated with its first target", DIRECTORY,
     "if (m_evacuated.empty() || !serving(service).empty())",
     "if (m_evacuated.empty())"),
    ("all entries send at once", COLD, "random.fraction()", "0.0"),
    ("each entry gives all that a target bears", COLD,
     "static_cast<double>(std::max<std::size_t>(1, entries));", "1.0;"),
    ("what was not sent is sent later", COLD,
     "found->second.next_send = now + interval_of(bears, entries);",
     "*found->second.next_send += interval_of(bears, entries);"),
    ("who was lost is warm at once", COLD,
     "std::max(found->second.cold_until, now + time);", "now;"),
    ("a lost target is warm until it answers", COLD,
     "m_targets[id].lost_at = now;", "m_targets[id].lost_at.reset();"),
]
