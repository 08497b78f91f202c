"""Safeguards of a read of the list whose pages can fail: the tests of the walk
through a list must fail without each of them.
"""

PARTS = ["tests/support/main.cpp", "tests/decision/list_walk_test.cpp"]
ARGUMENTS = []

WALK = "packages/decision/list_walk.cpp"

# Name, file, removed text, replacement.
MUTANTS = [
    ("a list that was read in part counts as whole", WALK,
     "    m_has_gap = true;\n", ""),
    ("a page that does not lead on is read again", WALK,
     "if (has_more && (last_key", "if (m_pages > 1000000 && (last_key"),
    ("a position that is refused is requested for ever", WALK,
     "if (m_skips > 0 || now >= *m_refused_since + adoption_time)",
     "if (m_skips > 0)"),
    ("an overloaded source loses pages", WALK,
     "if (kind != failure::refused)", "if (kind == failure::refused && m_is_done)"),
    ("a skip loses more than the key that is refused", WALK,
     "kept - dropped", "(kept - dropped) / 2"),
]
