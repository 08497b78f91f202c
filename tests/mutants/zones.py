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

# Name, file, removed text, replacement.
MUTANTS = [
    ("an older update wins", ZONES, "state.revision <= known.revision",
     "state.revision == known.revision"),
    ("a zone missing from a full list stays evacuated", ZONES,
     "if (!named.contains(zone) && known.revision < received.complete_as_of)",
     "if (zone.empty())"),
    ("a list read earlier ends an evacuation", ZONES,
     "if (!named.contains(zone) && known.revision < received.complete_as_of)",
     "if (!named.contains(zone) && received.complete_as_of > 0)"),
    ("snapshots omit zones whose evacuation ended", ZONES,
     "        result.states.push_back(state);",
     "        if (state.is_evacuated)\n"
     "            result.states.push_back(state);"),
    ("a snapshot without a full list counts as complete", ZONES,
     "known.revision < received.complete_as_of)",
     "known.revision != received.complete_as_of)"),
    ("evacuations are complete before a full list was read", ZONES,
     "m_complete_as_of = std::max(m_complete_as_of, received.complete_as_of);",
     "m_complete_as_of = std::max<std::uint64_t>(1, received.complete_as_of);"),
    ("a service is evacuated with its first target", DIRECTORY,
     "if (m_evacuated.empty() || !serving(service).empty())",
     "if (m_evacuated.empty())"),
    ("all entries send at once", COLD, "random.fraction()", "0.0"),
    ("each entry uses the full rate that a target accepts", COLD,
     "static_cast<double>(std::max<std::size_t>(1, entries));", "1.0;"),
    ("unused sends accumulate", COLD,
     "found->second.next_send = now + send_interval(limit, entries);",
     "*found->second.next_send += send_interval(limit, entries);"),
    ("a target that was lost is warm at its next response", COLD,
     "std::max(found->second.cold_until, now + warm_up_period);", "now;"),
    ("a lost target is warm until it responds", COLD,
     "m_targets[target].lost_at = now;",
     "m_targets[target].lost_at.reset();"),
]
