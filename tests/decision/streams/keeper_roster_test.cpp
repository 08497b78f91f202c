#include "decision/streams/keeper_roster.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

constexpr instant start{1h};
const std::set<std::string> listed{"k1", "k2", "k3"};

keeper_roster new_roster()
{
    keeper_roster roster;
    roster.set_listed(listed);
    return roster;
}

/// Lets the message 1 to k1 go without a reply, from \a from on.
void stay_silent(keeper_roster& roster, instant from)
{
    roster.note_sent("k1", 1, from);
    for (int sends = 1; sends <= keeper_roster::max_sends; ++sends)
        roster.take_overdue(from + sends * keeper_roster::reply_time);
}

} // namespace

// Guards against a copy that is lost with its datagram.
TEST_CASE("a message without a reply is sent again, then given up")
{
    keeper_roster roster = new_roster();
    roster.note_sent("k1", 1, start);
    roster.note_sent("k2", 2, start);
    CHECK_FALSE(roster.note_reply("k2", 2, 7, start));
    CHECK(roster.take_overdue(start + 99ms).to_resend.empty());
    CHECK(roster.take_overdue(start + 100ms).to_resend ==
          std::vector<std::uint64_t>{1});
    CHECK(roster.take_overdue(start + 200ms).to_resend ==
          std::vector<std::uint64_t>{1});
    const auto overdue = roster.take_overdue(start + 300ms);
    CHECK(overdue.to_resend.empty());
    CHECK(overdue.given_up == std::vector<std::uint64_t>{1});
    CHECK(overdue.silent == std::set<std::string>{"k1"});
    CHECK(roster.take_overdue(start + 1h).given_up.empty());
}

// Guards against copies that are placed where no record keeper runs, and
// against keepers that are passed over for good.
TEST_CASE("a silent record keeper is passed over for a while")
{
    keeper_roster roster = new_roster();
    stay_silent(roster, start);
    const instant silent_at = start + 300ms;
    const std::vector<std::string> others{"k2", "k3"};
    CHECK(roster.candidates(silent_at) == others);
    CHECK(roster.candidates(silent_at + keeper_roster::first_rest).size() == 3);
    stay_silent(roster, silent_at + 1s);
    CHECK(roster.candidates(silent_at + 3s) == others);
    roster.note_reply("k1", 9, 1, silent_at + 3s);
    CHECK(roster.candidates(silent_at + 3s).size() == 3);
}

// Guards against copies that are taken for kept after a record keeper has
// started again.
TEST_CASE("a reply of another process shows a restart")
{
    keeper_roster roster = new_roster();
    CHECK_FALSE(roster.note_reply("k1", 1, 7, start));
    CHECK_FALSE(roster.note_reply("k1", 2, 7, start));
    CHECK(roster.note_reply("k1", 3, 8, start));
    CHECK_FALSE(roster.note_reply("k2", 4, 8, start));
    CHECK_FALSE(roster.note_reply("stranger", 5, 1, start));
}

// Guards against messages that are kept for hosts that are gone.
TEST_CASE("what was sent to a host that is no longer listed is dropped")
{
    keeper_roster roster = new_roster();
    roster.note_sent("k1", 1, start);
    roster.note_sent("stranger", 2, start);
    roster.set_listed({"k2"});
    const auto overdue = roster.take_overdue(start + 1s);
    CHECK(overdue.to_resend.empty());
    CHECK(overdue.given_up.empty());
    CHECK(roster.size() == 1);
}

// Guards against fewer copies at entries on account of hosts without a record
// keeper.
TEST_CASE("a record keeper is confirmed by its reply, until it is silent")
{
    keeper_roster roster = new_roster();
    CHECK(roster.confirmed(start).empty());
    roster.note_reply("k1", 1, 7, start);
    CHECK(roster.confirmed(start) == std::set<std::string>{"k1"});
    stay_silent(roster, start);
    CHECK(roster.confirmed(start + 300ms).empty());
}

// Guards against a keeper's restart that nobody notices, since nothing else is
// sent to it.
TEST_CASE("the record keeper that was unheard for longest is probed")
{
    keeper_roster roster = new_roster();
    roster.note_reply("k1", 1, 7, start);
    roster.note_reply("k2", 2, 7, start + 1s);
    CHECK_FALSE(roster.next_probe(start + 1s));
    CHECK(roster.next_probe(start + 4s) == "k1");
    roster.note_sent("k1", 3, start + 4s);
    CHECK(roster.next_probe(start + 4s) == "k2");
    roster.note_sent("k2", 4, start + 4s);
    CHECK_FALSE(roster.next_probe(start + 4s));
}
