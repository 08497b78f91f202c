"""Safeguards of the judgement of an answer that ends with its connection: the
model of the end check must fail without each of them.
"""

PARTS = ["tests/support/main.cpp",
         "tests/decision/answers/end_check_test.cpp"]
ARGUMENTS = []

END_CHECK = "packages/decision/answers/end_check.cpp"
TOGETHER = ("    if (may_target_have_ended())\n"
            "        return answer_end::broken_off;\n")

# Name, file, removed text, replacement.
MUTANTS = [
    ("each end is believed", END_CHECK, TOGETHER,
     "    if (sign != life_sign::silent)\n"
     "        return answer_end::whole;\n"),
    ("a witness that ended with the answer is ignored", END_CHECK, TOGETHER,
     ""),
    ("a reset witness counts as the end of its target", END_CHECK,
     "if (is_orderly)", "if (is_orderly || !is_orderly)"),
    ("no end of a witness counts", END_CHECK, "if (is_orderly)",
     "if (is_orderly && !is_orderly)"),
    ("any read shows that the target lives", END_CHECK, ">= same_time",
     ">= duration::zero()"),
    ("late reads show that the target lives", END_CHECK,
     "std::max(began, *m_witness_ended_at)",
     "std::min(began, *m_witness_ended_at)"),
    ("no read shows that the target lives", END_CHECK,
     "        m_witness_ended_at.reset();", "        return;"),
    ("a silent target counts as one that lives", END_CHECK,
     "return answer_end::unknown;", "return answer_end::whole;"),
    ("another target's answer counts", END_CHECK,
     "    case life_sign::own_answer:",
     "    case life_sign::other_answer:\n    case life_sign::own_answer:"),
]
