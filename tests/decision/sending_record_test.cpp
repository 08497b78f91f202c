#include "decision/sending_record.hpp"

#include <doctest/doctest.h>

using mangofold::decision::sending_record;

// Guards against running a request twice: its result is lost, and the request
// is sent to a second target although the first one ran it.
TEST_CASE("a non-repeatable request is sent again only if it did not run")
{
    sending_record record(false, 3);
    record.note_sent();
    CHECK_FALSE(record.may_send());
    CHECK_FALSE(record.is_known_not_run());
    record.note_not_run();
    CHECK(record.may_send());
    CHECK(record.is_known_not_run());
}

TEST_CASE("a repeatable request is sent to at most max_targets targets")
{
    sending_record record(true, 2);
    record.note_sent();
    CHECK(record.may_send());
    record.note_sent();
    CHECK_FALSE(record.may_send());
    record.note_not_run();
    CHECK(record.may_send());
}

TEST_CASE("the number of refused sends is limited")
{
    sending_record record(true, 9);
    for (int refusal = 0; refusal < 3; ++refusal)
    {
        CHECK(record.may_send());
        record.note_sent();
        record.note_not_run();
    }
    CHECK_FALSE(record.may_send());
    CHECK(record.is_known_not_run());
}

// Guards against requests that are refused since targets could not be reached,
// although none of them was asked.
TEST_CASE("sends that reach no target count neither as runs nor as refusals")
{
    sending_record record(true, 2);
    for (int send = 0; send < 9; ++send)
    {
        CHECK(record.may_send());
        record.note_sent();
        record.note_unsent();
    }
    CHECK(record.may_send());
    CHECK(record.is_known_not_run());
    CHECK(record.arrivals() == 0);
    CHECK(record.sends() == 9);
}

// Guards against a stream in progress that ends since full targets refused it
// as often as a new request may be refused.
TEST_CASE(
    "refusals are not limited for a request that has a part of its answer")
{
    sending_record record(true, 2);
    record.allow_refusals();
    for (int refusal = 0; refusal < 9; ++refusal)
    {
        CHECK(record.may_send());
        record.note_sent();
        record.note_not_run();
    }
    CHECK(record.may_send());
}
