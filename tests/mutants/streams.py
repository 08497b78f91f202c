"""Safeguards of the records of streams: their tests must fail without each of
them.
"""

PARTS = ["tests/support/main.cpp",
         "tests/decision/streams/keeper_roster_test.cpp",
         "tests/decision/streams/origin_records_test.cpp",
         "tests/decision/streams/origin_records_simulation_test.cpp",
         "tests/decision/streams/record_handover_test.cpp",
         "tests/decision/streams/version_answers_test.cpp",
         "tests/decision/streams/version_history_simulation_test.cpp",
         "tests/decision/admission/take_up_admission_test.cpp",
         "tests/decision/target_directory_test.cpp"]
ARGUMENTS = []

RECORDS = "packages/decision/streams/origin_records.cpp"
ADOPTION = "packages/decision/streams/record_adoption.cpp"
HANDOVER = "packages/decision/streams/record_handover.cpp"
HISTORY = "packages/decision/streams/version_history.cpp"
ANSWERS = "packages/decision/streams/version_answers.cpp"
REPORTS = "packages/decision/streams/version_reports.cpp"
ORIGIN = "packages/decision/streams/stream_origin.cpp"
ROSTER = "packages/decision/streams/keeper_roster.cpp"
FORECAST = "packages/decision/admission/admission_forecast.cpp"
DIRECTORY = "packages/decision/target_directory.cpp"

# Name, file, removed text, replacement.
MUTANTS = [
    ("an entry that was lost counts as one that has its copies", RECORDS,
     "stored.sent_to.erase(address);", "(void)stored;"),
    ("new holders are sent nothing", RECORDS,
     "return !sent_to.insert(holder).second;",
     "sent_to.insert(holder); return sent_to.size() > copies;"),
    ("only as many entries are asked as keep copies", RECORDS,
     "copies + 1", "copies"),
    ("records are not sent to record keepers", RECORDS,
     "const std::vector<std::string> keepers =\n"
     "        m_keeper_placement.holders(key, keeper_copies)",
     "const std::vector<std::string> keepers"),
    ("copies of adopted records are always placed", RECORDS,
     "const auto keepers = m_keeper_placement.holders(key, keeper_copies)",
     "const std::vector<std::string> keepers"),
    ("record keepers are not asked", RECORDS,
     "m_keeper_placement.holders(key, keeper_copies + 2)",
     "std::vector<std::string>()"),
    ("entries adopt nothing", ADOPTION,
     "readers.holders(digest_of(address), 1).front() == own", "own.empty()"),
    ("keepers hand on nothing", HANDOVER,
     "if (!m_successors[index].is_silent)", "if (m_parts == 0)"),
    ("adoption forgets ambiguity", RECORDS,
     "note(key, known);\n    const auto found",
     "note(key, {known.origin, known.began_at, known.expires_at, false});\n"
     "    const auto found"),
    ("a keeper that restarted is read on", ADOPTION,
     "has_restarted ? 0 : std::max(known.after, next)",
     "std::max(known.after, next)"),
    ("what was adopted counts as placed", RECORDS,
     "known.began_at < owned_since || ", ""),
    ("a silent successor is not passed over", HANDOVER,
     "receiver.is_silent = true;", "(void)receiver;"),
    ("a lost message is not sent again", ROSTER,
     "waiting.sends < max_sends", "waiting.sends < 1"),
    ("silent record keepers are sent copies", ROSTER,
     "if (!known.is_silent(now))\n            addresses",
     "if (true)\n            addresses"),
    ("a host without a reply counts as a record keeper", RECORDS,
     "m_confirmed_keepers.contains(keeper);", "!keeper.empty();"),
    ("record keepers are never probed", ROSTER,
     "known.used_at + probe_age <= now &&", "known.used_at > now &&"),
    ("a restart of a record keeper goes unnoticed", ROSTER,
     "known.born && *known.born != born", "false"),
    ("spans are joined over any gap", HISTORY,
     "other.since <= m_followed_until + max_unobserved &&\n"
     "        *m_followed_since <= other.until + max_unobserved", "true"),
    ("a list that is not up to date counts", HISTORY,
     "if (m_up_to_date_at < taken_up_at)", "if (false)"),
    ("another entry's old list counts", HISTORY,
     "*m_followed_since <= answer.until &&", ""),
    ("another entry's answer needs no list", HISTORY,
     "m_up_to_date_at >= taken_up_at && m_followed_since &&",
     "m_followed_since &&"),
    ("versions that others saw are dropped", HISTORY,
     "last_seen = std::max(last_seen, seen_at);",
     "last_seen = m_followed_since ? instant() : last_seen;"),
    ("what was seen before a loss does not count", HISTORY,
     "m_followed_since = std::min(*m_followed_since, other.since);", ""),
    ("what one record keeper has watched counts", ANSWERS,
     "if (keepers == 1)", "if (keepers > 0)"),
    ("what either of two record keepers has watched counts", ANSWERS,
     "std::max(seen.since, other.since)", "std::min(seen.since, other.since)"),
    ("versions that one record keeper knows are dropped", ANSWERS,
     "    history.note_last_seen(seen.last_seen);\n", ""),
    ("record keepers are not told of a version before its first stream",
     REPORTS, "m_sent.insert(origin).second;",
     "m_sent.insert(origin).second && m_sent.empty();"),
    ("expired records are used", RECORDS,
     "found->second.known.expires_at > now", "true"),
    ("one of two origins is used", RECORDS,
     "present.is_ambiguous = true;", "present.is_ambiguous = false;"),
    ("a stream that goes on is forgotten as early", RECORDS,
     "present.expires_at = std::max(present.expires_at, known.expires_at);",
     ""),
    ("streams belong to no account", ORIGIN, "{account, {}, host",
     "{{}, {}, host"),
    ("a gap in the list is ignored", HISTORY,
     "*m_followed_since > since", "false"),
    ("a version that is gone is forgotten at once", HISTORY,
     "last_seen < since", "last_seen < now"),
    ("an incarnation keeps the newest of its versions", DIRECTORY,
     "is_changed || (is_same && known.has_ambiguous_version);", "false;"),
    ("streams that are taken up wait among new ones", FORECAST,
     "candidate.job->continues_stream ? continued_turn : 0", "0"),
    ("streams that are taken up are rejected by forecast", FORECAST,
     "!candidate.job->continues_stream &&\n        m_late", "m_late"),
    ("a version belongs to an id", DIRECTORY,
     "found->second.value.incarnation != incarnation\n"
     "               ? std::string()",
     "false\n               ? std::string()"),
]
