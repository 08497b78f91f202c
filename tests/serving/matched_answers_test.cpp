#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

using namespace mangofold::test;
using end = scripted_target::response::connection_action;

namespace
{

/// Returns the value of the field "Id" of \a request, empty if it has none.
std::string id_of(const std::string& request)
{
    const std::size_t field = request.find("\r\nId: ");
    if (field == std::string::npos)
        return {};
    const std::size_t begin = field + 6;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

} // namespace

// Guards against a caller that gets the answer of another one, as it has no id.
TEST_CASE("no answer without an id is passed on once its target has sent ids")
{
    serving_fixture entry;
    auto& target = entry.add_target(
        "plain",
        [](const std::string& request, std::size_t number)
        {
            const std::string id = number == 0 ? id_of(request) : "";
            return scripted_target::response{response_text(id, "late"),
                                             end::keep};
        });
    const auto ask = [&entry](const std::string& id)
    { return entry.send_and_receive(request_text("/once/x", id)); };
    CHECK(ask("r1").starts_with("HTTP/1.1 200"));
    CHECK(ask("r2").starts_with("HTTP/1.1 502"));
    CHECK(target.requests().size() == 2);
    CHECK(target.connections() == 1);
}
