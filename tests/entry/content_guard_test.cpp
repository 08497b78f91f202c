#include "entry/content_guard.hpp"
#include "runtime/paused_clock.hpp"

#include <doctest/doctest.h>

using namespace mangofold;
using namespace std::chrono_literals;

namespace
{

const decision::digest content{1, 1};

struct fixture
{
    runtime::paused_clock clock;
    runtime::metrics metrics;
    entry::content_guard guard{clock, metrics};
    entry::mailbox replies;

    fixture() { clock.advance(1h); }

    decision::target_crash crash_of(const std::string& target) const
    {
        return {content, {target, 1}, clock.now() - 100ms, clock.now()};
    }

    bool is_quarantined()
    {
        return guard.quarantine_delay(content, clock.now() + 1s, replies)
            .has_value();
    }
};

} // namespace

TEST_CASE("three crashes quarantine a request, and a completed run releases it")
{
    fixture f;
    for (const char* target : {"t1", "t2", "t3"})
    {
        CHECK_FALSE(f.is_quarantined());
        f.clock.advance(1s);
        f.guard.note_crash(f.crash_of(target));
    }
    CHECK(f.is_quarantined());
    f.guard.note_served(content);
    CHECK_FALSE(f.is_quarantined());
}

// Guards against refusing a harmless request a minute after three targets that
// ran it crashed. The crashes are not held against the request, since it had
// just been served. When the links to the sidecars open again, the sidecars
// report the same crashes again, and the record that the request was served has
// expired by then.
TEST_CASE("a crash that is reported again is judged as at first")
{
    fixture f;
    std::vector<decision::target_crash> crashes;
    f.guard.note_served(content);
    for (const char* target : {"t1", "t2", "t3"})
    {
        f.clock.advance(1s);
        crashes.push_back(f.crash_of(target));
        f.guard.note_crash(crashes.back());
    }
    f.clock.advance(20s);
    for (const decision::target_crash& crash : crashes)
        f.guard.note_crash(crash);
    CHECK_FALSE(f.is_quarantined());
}
