"""Safeguards of the judgement of an answer that ends with its connection: the
model of the end check must fail without each of them.
"""

PARTS = ["tests/support/main.cpp",
         "tests/decision/answers/end_check_test.cpp"]
ARGUMENTS = []

END_CHECK = "packages/decision/answers/end_check.cpp"

# Name, file, removed text, replacement.
MUTANTS = [
    ("each end is believed", END_CHECK,
     "if (!needs_question())\n        return answer_end::broken_off;",
     "if (sign != life_sign::own_answer || !needs_question())\n"
     "        return answer_end::whole;"),
    ("a witness that ended with the answer is ignored", END_CHECK,
     "const bool is_lost = m_witness == witness::open && !is_witness_open;",
     "const bool is_lost = is_witness_open && !is_witness_open;"),
    ("a witness that was lost just before the end is ignored", END_CHECK,
     "now < *m_lost_at + late_bytes_time", "now < *m_lost_at"),
    ("no answer without a witness is believed", END_CHECK,
     "is_lost || (m_lost_at",
     "is_lost || m_witness == witness::none || (m_lost_at"),
    ("an answer after an idle witness was closed is not believed", END_CHECK,
     "now < *m_lost_at + late_bytes_time", "now >= *m_lost_at"),
    ("a silent target counts as one that lives", END_CHECK,
     "return answer_end::unknown;", "return answer_end::whole;"),
    ("another target's answer counts", END_CHECK,
     "    case life_sign::own_answer:",
     "    case life_sign::other_answer:\n    case life_sign::own_answer:"),
]
