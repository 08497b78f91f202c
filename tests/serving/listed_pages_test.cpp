#include "support/paged_source.hpp"

#include <doctest/doctest.h>

using namespace mangofold;
using namespace mangofold::serving;
using namespace std::chrono_literals;
using starting_entry = test::entry_with_paged_source;

// Guards against requests being refused for seconds after all entries of a
// large fleet start at once. The target list has many pages, and all entries
// read it over the source's link, so entries that wait for the last page serve
// late.
TEST_CASE("targets are used as soon as their page is read")
{
    starting_entry entry;
    entry.source.rejected_pages = {"1"};
    spawn(entry.loop, entry.reader.run());
    entry.advance_until([&]
                        { return entry.source.requests_by_page["1"] >= 2; });
    CHECK(entry.known_targets() == 1);
    CHECK(entry.context->has_some_targets);
    CHECK_FALSE(entry.context->has_all_targets);
    REQUIRE(entry.context->catalog);
    CHECK(entry.context->catalog->version() == 7);
}

// Guards against overload of the source: if the list were read again from the
// first page when a page is rejected, each rejection would cause more requests.
TEST_CASE("a failed page is requested again without the previous pages")
{
    starting_entry entry;
    entry.source.rejected_pages = {"1"};
    spawn(entry.loop, entry.reader.run());
    entry.advance_until([&]
                        { return entry.source.requests_by_page["1"] >= 3; });
    entry.source.rejected_pages.clear();
    entry.advance_until([&] { return entry.context->has_all_targets; });
    CHECK(entry.known_targets() == test::page_count);
    CHECK(entry.source.requests_by_page["0"] == 1);
    CHECK(entry.source.requests_by_page["2"] == 1);
}
