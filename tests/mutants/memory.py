"""Safeguards of the memory that bodies take: the tests of the account must fail
without each of them.
"""

PARTS = ["tests/support/main.cpp",
         "tests/decision/admission/memory_account_test.cpp"]
ARGUMENTS = []

ACCOUNT = "packages/decision/admission/memory_account.cpp"

# Name, file, removed text, replacement.
MUTANTS = [
    ("every body fits", ACCOUNT, "return m_capacity == 0 ||",
     "return m_capacity + 1 > 0 ||"),
    ("requests leave no room for answers", ACCOUNT,
     "m_capacity - m_capacity / 4", "m_capacity"),
    ("a body passes others that wait", ACCOUNT,
     "m_waiting.empty() || own < m_waiting.begin()->first",
     "m_capacity + 1 > 0"),
    ("any number of bodies waits", ACCOUNT,
     "m_waiting.size() <= m_max_waiting", "m_waiting.size() > 0"),
    ("returned memory is granted to nobody", ACCOUNT,
     "m_taken -= bytes;\n    grant_waiting();", "m_taken -= bytes;"),
    ("answers have no limit", ACCOUNT,
     "if (!has_room && to > from)",
     "if (!has_room && to > from + m_capacity)"),
    ("assured parts of answers have no limit", ACCOUNT,
     "m_capacity + m_assured_reserve;", "taken;"),
    ("more bodies wait than there is memory for", ACCOUNT,
     "process_reserve / 3 / bytes_per_waiting",
     "process_reserve / bytes_per_waiting"),
]
