#pragma once

#include "serving/source.hpp"

#include <string>

namespace mangofold::test
{

/// A source whose serialized catalog is just its version number, which tests
/// pad with leading zeros to set its size.
class stub_source : public serving::source_dialect
{
public:
    serving::http_request
    declarations_request(const std::string&) const override
    {
        return get("/catalog");
    }

    serving::source_page
    parse_declarations(std::string_view body) const override
    {
        return parse_changes(body);
    }

    serving::http_request targets_request(const std::string&) const override
    {
        return get("/targets");
    }

    serving::source_page parse_targets(std::string_view) const override
    {
        serving::source_page page;
        page.revision = 1;
        return page;
    }

    serving::http_request watch_request(std::uint64_t,
                                        serving::duration) const override
    {
        return get("/watch");
    }

    serving::source_page parse_changes(std::string_view body) const override
    {
        serving::source_page page;
        page.revision = 2;
        serving::source_change change;
        change.kind = serving::source_change::record_kind::catalog;
        change.catalog = std::string(body);
        page.changes.push_back(std::move(change));
        return page;
    }

    catalog::document parse_catalog(std::string_view text) const override
    {
        catalog::document read;
        read.version = std::stoull(std::string(text));
        return read;
    }

private:
    static serving::http_request get(const std::string& target)
    {
        return {serving::http::verb::get, target, 11};
    }
};

} // namespace mangofold::test
