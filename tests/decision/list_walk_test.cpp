#include "decision/list_walk.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

constexpr duration adoption_time = 3s;

/// A source that refuses pages with certain keys and, if it is strict,
/// positions with bytes that are not visible ASCII.
struct refusing_source
{
    std::set<std::string> keys;
    std::set<std::string> refused;
    std::size_t page_size = 1;
    bool is_strict = false;

    bool refuses_position(const std::string& after) const
    {
        return is_strict &&
               std::any_of(after.begin(), after.end(),
                           [](char c) { return c <= ' ' || c > '~'; });
    }

    /// Returns the keys of the page after \a after, or nothing if it is
    /// refused.
    std::optional<std::vector<std::string>> page(const std::string& after) const
    {
        std::vector<std::string> found;
        for (auto key = keys.upper_bound(after);
             key != keys.end() && found.size() < page_size; ++key)
        {
            if (refused.contains(*key))
                return std::nullopt;
            found.push_back(*key);
        }
        if (refuses_position(after))
            return std::nullopt;
        return found;
    }
};

struct read_result
{
    std::set<std::string> keys;
    bool is_whole = false;
    int requests = 0;
};

read_result read(const refusing_source& source)
{
    list_walk walk;
    read_result result;
    instant now{};
    for (; !walk.is_done() && result.requests < 5000; ++result.requests)
    {
        now += 600ms;
        const auto page = source.page(walk.position());
        if (!page)
        {
            walk.note_failure(list_walk::failure::refused, adoption_time, now);
            continue;
        }
        result.keys.insert(page->begin(), page->end());
        const std::string last = page->empty() ? "" : page->back();
        RC_ASSERT(walk.note_page(last, !page->empty() &&
                                           source.keys.upper_bound(last) !=
                                               source.keys.end()));
    }
    result.is_whole = walk.is_whole();
    return result;
}

rc::Gen<refusing_source> any_source()
{
    const auto key =
        rc::gen::map(rc::gen::container<std::string>(rc::gen::oneOf(
                         rc::gen::element('a', 'b', '~', ' ', '\xff'),
                         rc::gen::arbitrary<char>())),
                     [](const std::string& end) { return "servers/" + end; });
    const auto keys = rc::gen::container<std::set<std::string>>(key);
    return rc::gen::mapcat(
        keys,
        [](const std::set<std::string>& all)
        {
            return rc::gen::build<refusing_source>(
                rc::gen::set(&refusing_source::keys, rc::gen::just(all)),
                rc::gen::set(&refusing_source::refused,
                             all.empty()
                                 ? rc::gen::just(all)
                                 : rc::gen::container<std::set<std::string>>(
                                       rc::gen::elementOf(all))),
                rc::gen::set(&refusing_source::page_size,
                             rc::gen::inRange<std::size_t>(1, 8)),
                rc::gen::set(&refusing_source::is_strict));
        });
}

} // namespace

// Guards against a list that is read for ever, and against one in part that
// counts as whole: targets that it does not contain would be removed.
TEST_CASE("a list ends, and is whole only if each key was read")
{
    CHECK(rc::check(
        []
        {
            const refusing_source source = *any_source();
            const read_result result = read(source);
            RC_ASSERT(result.requests < 5000);
            RC_ASSERT(!result.is_whole || result.keys == source.keys);
            const bool is_refusing =
                !source.refused.empty() ||
                std::any_of(source.keys.begin(), source.keys.end(),
                            [&](const std::string& key)
                            { return source.refuses_position(key); });
            RC_ASSERT(result.is_whole || is_refusing);
        }));
}

// Guards against targets lost to a source that accepts no position like the
// last key of a page.
TEST_CASE("a position that is refused costs no other key")
{
    refusing_source source{
        {"servers/i-1", "servers/i-2 copy", "servers/i-3"}, {}, 2, true};
    CHECK(read(source).keys == source.keys);
    CHECK_FALSE(read(source).is_whole);
}

TEST_CASE("a page that does not lead on is no page")
{
    list_walk walk;
    CHECK_FALSE(walk.note_page("", true));
    CHECK(walk.note_page("b", true));
    CHECK_FALSE(walk.note_page("b", true));
    CHECK(walk.note_page("a", true));
    CHECK_FALSE(walk.note_page("b", true));
    CHECK(walk.note_page("b", false));
    CHECK(walk.is_whole());
}

TEST_CASE("pages without a statement about them are never skipped")
{
    list_walk walk;
    REQUIRE(walk.note_page("b", true));
    for (instant now{}; now < instant(60s); now += 600ms)
        walk.note_failure(list_walk::failure::unanswered, adoption_time, now);
    CHECK(walk.position() == "b");
    CHECK(walk.is_stalled(adoption_time, instant(60s)));
    CHECK(walk.retry_at(adoption_time, instant(60s)) <= instant(90s));
    CHECK(walk.note_page("c", true));
    CHECK_FALSE(walk.is_stalled(adoption_time, instant(60s)));
}
