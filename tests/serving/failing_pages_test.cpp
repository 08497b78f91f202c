#include "support/paged_source.hpp"

#include <doctest/doctest.h>

using namespace mangofold;
using namespace mangofold::serving;
using namespace std::chrono_literals;

namespace
{

std::string answer(const std::string& status, const std::string& body)
{
    return "HTTP/1.1 " + status +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

/// Answers that do not bring the list further than its first page.
const std::vector<std::string> rejections{
    answer("400 Bad Request", ""), answer("404 Not Found", ""),
    answer("413 Too Large", ""),   answer("500 Failed", ""),
    answer("200 OK", "{"),         answer("200 OK", "0"),
    answer("429 Slower", ""),      answer("503 Unavailable", "")};

/// An entry that has just started; the answers of its source to the second page
/// are as in \a rejection until the test changes that.
struct entry_with_failing_page : test::entry_with_paged_source
{
    explicit entry_with_failing_page(const std::string& rejection)
    {
        source.rejected_pages = {"1"};
        source.rejection = rejection;
        source.is_changing = true;
        spawn(loop, reader.run());
    }

    std::uint64_t catalog_version() const
    {
        return context->catalog ? context->catalog->version() : 0;
    }
};

} // namespace

// Guards against an entry that follows the source no longer after its restart:
// it asked for the same page for ever.
TEST_CASE("changes are followed beside a page that fails for ever")
{
    for (const std::string& rejection : rejections)
    {
        CAPTURE(rejection);
        entry_with_failing_page entry(rejection);
        entry.advance_until([&] { return entry.catalog_version() == 8; }, 2s,
                            200ms);
        CHECK(entry.catalog_version() == 8);
        const auto& directory = entry.context->directory;
        entry.advance_until([&] { return directory.is_source_available(); },
                            1s);
        CHECK(directory.is_source_available());
        CHECK(entry.context->has_routing_state());
        CHECK_FALSE(entry.context->has_all_targets);
    }
}

// Guards against a load on the source that grows with each page that fails.
TEST_CASE("a page that fails for ever is requested less and less often")
{
    for (const std::string& rejection :
         {answer("400 Bad Request", ""), answer("503 Unavailable", "")})
    {
        CAPTURE(rejection);
        entry_with_failing_page entry(rejection);
        entry.source.is_changing = false;
        entry.advance_until([] { return false; }, 20s, 250ms);
        CHECK(entry.source.requests_by_page["1"] < 20);
        CHECK(entry.source.requests_by_page["0"] < 4);
    }
}

// Guards against targets that get no requests because another key of the list
// can't be read.
TEST_CASE("the list is read on behind a page that is refused")
{
    for (const std::string& rejection :
         {answer("400 Bad Request", ""), answer("200 OK", "0"),
          answer("503 Unavailable", "")})
    {
        CAPTURE(rejection);
        const bool is_refused = rejection.find(" 503 ") == std::string::npos;
        entry_with_failing_page entry(rejection);
        entry.advance_until([&] { return entry.known_targets() == 2; }, 8s,
                            250ms);
        CHECK((entry.known_targets() == 2) == is_refused);
        CHECK_FALSE(entry.context->has_all_targets);
        entry.source.rejected_pages.clear();
        entry.advance_until([&] { return entry.context->has_all_targets; }, 40s,
                            250ms);
        CHECK(entry.context->has_all_targets);
        CHECK(entry.known_targets() == test::page_count);
    }
}
