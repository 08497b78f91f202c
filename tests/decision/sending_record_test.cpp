#include "decision/sending_record.hpp"

#include <doctest/doctest.h>

using mangofold::decision::sending_record;

// A voucher is redeemed twice.
// 1. The request goes to a target, whose answer is lost. 2. It is sent to
// another one. 3. Both ran it.
TEST_CASE("what may not be repeated is sent once unless it surely did not run")
{
    sending_record sends(false, 3);
    sends.note_sent();
    CHECK_FALSE(sends.may_send());
    CHECK_FALSE(sends.has_surely_not_run());
    sends.note_not_run();
    CHECK(sends.may_send());
    CHECK(sends.has_surely_not_run());
}

TEST_CASE("what may be repeated runs at as many targets as its route allows")
{
    sending_record sends(true, 2);
    sends.note_sent();
    CHECK(sends.may_send());
    sends.note_sent();
    CHECK_FALSE(sends.may_send());
    sends.note_not_run();
    CHECK(sends.may_send());
}

TEST_CASE("refusals are not asked for without end")
{
    sending_record sends(true, 9);
    for (int one = 0; one < 3; ++one)
    {
        CHECK(sends.may_send());
        sends.note_sent();
        sends.note_not_run();
    }
    CHECK_FALSE(sends.may_send());
    CHECK(sends.has_surely_not_run());
}
