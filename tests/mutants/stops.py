"""Safeguards of stopping entries: the model of stops must fail without each of
them.
"""

PARTS = ["tests/support/main.cpp", "tests/decision/stops/stops_test.cpp",
         "tests/decision/stops/stops_of_all_test.cpp"]
ARGUMENTS = []

DRAIN = "packages/decision/drain.cpp"
ROSTER = "packages/decision/entry_roster.cpp"
ORDER = "packages/decision/entry_roster_stops.cpp"

# Name, file, removed text, replacement.
MUTANTS = [
    ("the bound is ignored", DRAIN,
     "now + time.bound <= last_answers_at()", "now <= last_answers_at()"),
    ("the typical duration counts as the bound", DRAIN,
     "now + time.bound <= last_answers_at()",
     "now + time.typical <= last_answers_at()"),
    ("1.5 times the typical duration counts as the bound", DRAIN,
     "now + time.bound <= last_answers_at()",
     "now + time.typical * 3 / 2 <= last_answers_at()"),
    ("the bound ends with the process", DRAIN,
     "now + time.bound <= last_answers_at()",
     "now + time.bound <= request_deadline()"),
    ("no time is left for the last answers", DRAIN,
     "last_answers_time = std::chrono::milliseconds(200)",
     "last_answers_time = std::chrono::milliseconds(0)"),
    ("no time is left for the exit", DRAIN,
     "exit_reserve = std::chrono::milliseconds(300)",
     "exit_reserve = std::chrono::milliseconds(0)"),
    ("the balancer is waited for longer than callers are excused", DRAIN,
     "max_removal_delay = std::chrono::milliseconds(2500)",
     "max_removal_delay = std::chrono::milliseconds(3500)"),
    ("a balancer without checks is waited for forever", DRAIN,
     "? latest\n", "? instant::max()\n"),
    ("the bound is ignored while others go on", DRAIN,
     "return is_finished;", "return is_short;"),
    ("the bound is ignored while all stop", DRAIN,
     "return is_finished || now < m_started_at + max_removal_delay;",
     "return true;"),
    ("long requests are taken while others go on", DRAIN,
     "return is_finished;", "return ends_in_time;"),
    ("all requests are refused while all stop", DRAIN,
     "return is_finished || now < m_started_at + max_removal_delay;",
     "return false;"),
    ("requests are refused from the signal on", DRAIN,
     "if (!is_out_of_rotation(now))\n        return true;", ""),
    ("short requests are refused while others go on", DRAIN,
     "max_short_request = std::chrono::milliseconds(300)",
     "max_short_request = std::chrono::milliseconds(0)"),
    ("entries stay until the grace ends", DRAIN,
     "(is_idle && is_out_of_rotation(now))", "(is_idle && false)"),
    ("an entry exits although it has work", DRAIN,
     "(is_idle && is_out_of_rotation(now))", "is_out_of_rotation(now)"),
    ("an entry exits before the balancer has noticed", DRAIN,
     "(is_idle && is_out_of_rotation(now))", "is_idle"),
    ("others that stop count as remaining", ROSTER,
     "return since == m_others_stopping_since.end() ||",
     "return true ||"),
    ("entries that stop later count as gone", ROSTER,
     "since->second > m_stopping_since + simultaneous_stop_window",
     "false"),
    ("few remaining entries are enough", ROSTER,
     "min_remaining_share = 0.75", "min_remaining_share = 0.05"),
    ("the first half takes long requests", DRAIN,
     "!is_short && !is_returning)", "false)"),
    ("callers that return are refused again", DRAIN,
     "&& !is_returning)", ")"),
    ("all leave requests to each other", ORDER,
     "2 * taking >= fleet", "true"),
    ("entries told earlier count as the later half", ORDER,
     "(stops_after_this(address) &&", "(true &&"),
]
