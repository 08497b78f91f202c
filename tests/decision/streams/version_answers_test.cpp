#include "decision/streams/version_answers.hpp"
#include "decision/streams/version_reports.hpp"

#include <doctest/doctest.h>

#include <vector>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

constexpr instant now = instant(1h);

/// Returns what an entry knows after \a answers and, where the changes since
/// these are read, after that.
version_history history_with(const std::vector<version_observation>& answers,
                             bool are_changes_read = true)
{
    version_history history;
    history.note_gap(now);
    history.note_versions({{"chat", "v1"}}, now);
    version_answers received;
    for (std::size_t number = 0; number < answers.size(); ++number)
    {
        received.note("k" + std::to_string(number), answers[number], 5,
                      history);
        const auto unread = history.unread_after();
        if (are_changes_read && unread)
            history.note_read(*unread, {});
    }
    return history;
}

} // namespace

// Guards against a version that one record keeper missed while it was out of
// reach of all entries.
TEST_CASE("a time counts that two record keepers have watched")
{
    const version_observation long_one{now - 60s, now - 1s, {}, 7};
    const version_observation short_one{now - 5s, now - 2s, {}, 6};
    CHECK(history_with({long_one}).observation()->since == now);
    CHECK(history_with({long_one, short_one}).observation()->since == now - 5s);
    CHECK(history_with({long_one, short_one, long_one}).observation()->since ==
          now - 60s);
}

// Guards against spans that are joined although neither adjoins the other.
TEST_CASE("record keepers that watched long ago make nothing known")
{
    const version_observation old{now - 60s, now - 11s, {}, 7};
    CHECK(history_with({old, old}).observation()->since == now);
}

// Guards against a time that record keepers were not told of, and against a
// read that begins after changes which one of two keepers does not know.
TEST_CASE("entries ask on until the changes after the answers were read")
{
    const version_observation older{now - 60s, now - 2s, {}, 6};
    const version_observation newer{now - 60s, now - 1s, {}, 7};
    version_history history = history_with({older, newer}, false);
    CHECK(history.observation()->since == now);
    CHECK(history.unread_after() == 6);
    version_answers received;
    CHECK_FALSE(received.note("k0", older, 5, history));
    CHECK_FALSE(received.note("k1", newer, 5, history));
    history.note_read(7, {});
    CHECK_FALSE(received.note("k1", newer, 5, history));
    history.note_read(6, {});
    CHECK(received.note("k2", newer, 5, history));
    CHECK(history.observation()->since == now - 60s);
}

// Guards against spans of a release before, which states no revision, that are
// joined to one that began later.
TEST_CASE("answers without a revision make no gap known")
{
    const version_observation former{now - 60s, now - 1s, {}};
    const version_observation present{now - 60s, now - 1s, {}, 7};
    CHECK(history_with({former, present}).observation()->since == now);
    const version_observation adjoining{now - 60s, now, {}};
    CHECK(history_with({adjoining, adjoining}).observation()->since ==
          now - 60s);
}

// Guards against entries of a release before, which join spans without the
// changes between them and so have to be told of each version in time.
TEST_CASE("a version is reported once before its first stream")
{
    version_reports reports;
    const version_observation seen{now - 60s, now, {{{"chat", "v1"}, now}}, 7};
    CHECK(reports.take_due(seen, 1s, now));
    CHECK_FALSE(reports.take_new({"chat", "v1"}));
    CHECK(reports.take_new({"chat", "v2"}));
    CHECK_FALSE(reports.take_new({"chat", "v2"}));
}
