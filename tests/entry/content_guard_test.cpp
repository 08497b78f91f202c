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
    runtime::paused_clock time;
    runtime::metrics counters;
    entry::content_guard guard{time, counters};
    entry::mailbox replies;

    fixture() { time.advance(1h); }

    decision::target_crash end_of(const std::string& target) const
    {
        return {content, {target, 1}, time.now() - 100ms, time.now()};
    }

    bool is_kept_back()
    {
        return guard.keep_back(content, time.now() + 1s, replies).has_value();
    }
};

} // namespace

TEST_CASE("three ends keep a request back, and a run that goes well lets it go")
{
    fixture f;
    for (const char* target : {"t1", "t2", "t3"})
    {
        CHECK_FALSE(f.is_kept_back());
        f.time.advance(1s);
        f.guard.note_end(f.end_of(target));
    }
    CHECK(f.is_kept_back());
    f.guard.note_served(content);
    CHECK_FALSE(f.is_kept_back());
}

// Callers of a harmless request are refused a minute after three targets ended.
// 1. It was in progress there, but had just been served, and was not blamed.
// 2. The links to their sidecars break and open again; the sidecars tell what
// they remember. 3. By then nobody knows that it was served in time.
TEST_CASE("an end that is told again is judged as it was at first")
{
    fixture f;
    std::vector<decision::target_crash> ends;
    f.guard.note_served(content);
    for (const char* target : {"t1", "t2", "t3"})
    {
        f.time.advance(1s);
        ends.push_back(f.end_of(target));
        f.guard.note_end(ends.back());
    }
    f.time.advance(20s);
    for (const decision::target_crash& one : ends)
        f.guard.note_end(one);
    CHECK_FALSE(f.is_kept_back());
}
