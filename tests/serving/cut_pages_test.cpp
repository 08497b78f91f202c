#include "support/paged_source.hpp"

#include <doctest/doctest.h>

#include <optional>

using namespace mangofold;
using namespace mangofold::test;
using namespace std::chrono_literals;
using end = scripted_target::response::connection_action;

namespace
{

/// An entry that reads its targets from a source which cuts the first answer to
/// a request that begins with \a path.
struct reading_entry : serving_fixture
{
    reading_entry(std::string path, scripted_target::response cut)
        : source(loop,
                 [this, path, cut](const std::string& request, std::size_t)
                 {
                     if (request.starts_with(path) && !is_cut)
                     {
                         is_cut = true;
                         return cut;
                     }
                     return scripted_target::response{pages.answer(request),
                                                      end::keep};
                 }),
          pages(loop), reader(*context, dialect)
    {
        const std::string address = source.address();
        context->settings.source_address = runtime::address::parse(address);
        context->settings.max_configuration_delay = 3s;
        context->catalog = nullptr;
        context->has_some_targets = false;
        context->directory = {};
        pages.is_changing = true;
        spawn(loop, reader.run());
    }

    /// Advances the time in short steps until \a is_done returns true.
    void advance_until(const std::function<bool()>& is_done)
    {
        for (int step = 0; step < 200 && !is_done(); ++step)
        {
            time.advance(50ms);
            for (int turn = 0; turn < 3; ++turn)
                loop.run_for(1ms);
        }
        CHECK(is_done());
    }

    bool is_cut = false;
    scripted_target source;
    paged_source pages;
    paged_dialect dialect;
    source_reader reader;
};

} // namespace

// Guards against an entry that takes a part of the store's answer for a whole
// one: other targets, or no configuration, are in force.
TEST_CASE("an answer of the store that is cut at any byte is read again")
{
    for (const std::string path : {"GET /targets/0", "GET /catalog"})
        for (const std::string& bytes :
             {std::string("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                          "Content-Length: 4\r\n\r\n0999"),
              std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                          "\r\n\r\n2\r\n09\r\n2\r\n99\r\n0\r\nT: 1\r\n\r\n")})
            for (std::size_t size = 0; size < bytes.size(); ++size)
                for (const end then : {end::close, end::reset})
                {
                    CAPTURE(path);
                    CAPTURE(bytes);
                    CAPTURE(size);
                    reading_entry entry(path, {bytes.substr(0, size), then});
                    entry.advance_until(
                        [&]
                        {
                            return entry.is_cut &&
                                   entry.context->has_all_targets &&
                                   entry.context->catalog;
                        });
                    CHECK(entry.context->directory.serving("plain").size() ==
                          page_count);
                    CHECK(entry.context->catalog->version() < 9);
                }
}

// Guards against an entry that takes the body of a broken answer for an answer
// of the store: other targets, or no configuration, are in force.
TEST_CASE("an answer of the store whose status is none is read again")
{
    const std::string inner =
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n0999";
    for (const std::string path : {"GET /targets/0", "GET /catalog"})
        for (const std::string status : {"000", "099", "101", "600"})
        {
            CAPTURE(path);
            CAPTURE(status);
            reading_entry entry(
                path, {"HTTP/1.1 " + status + " x\r\nContent-Length: " +
                           std::to_string(inner.size()) + "\r\n\r\n",
                       end::hang,
                       {},
                       {},
                       inner,
                       1,
                       1ms});
            entry.advance_until(
                [&]
                {
                    return entry.is_cut && entry.context->has_all_targets &&
                           entry.context->catalog;
                });
            CHECK(entry.context->directory.serving("plain").size() ==
                  page_count);
            CHECK(entry.context->catalog->version() < 9);
        }
}
