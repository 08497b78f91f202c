#pragma once

#include "decision/stage_job.hpp"
#include "serving/facts.hpp"
#include "serving/http.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace mangofold::serving
{

/// The names and formats in which callers and targets speak. It translates
/// and decides nothing.
class dialect
{
public:
    virtual ~dialect() = default;

    /// Returns what \a request says about itself. Throws facts_error.
    virtual request_facts facts(const http_request& request) const = 0;

    /// Returns the headers of \a request that a target is to see, with the
    /// marks that only this system sets.
    virtual http_fields forwarded(const http_request& request,
                                  const send_marks& marks) const = 0;

    /// Returns what a target's \a answer says about itself.
    virtual answer_facts answer(const http_answer_head& answer) const = 0;

    /// Returns the headers of a target's answer that the caller is to see.
    virtual http_fields returned(const http_answer_head& answer) const = 0;

    /// Returns the headers that bind an answer to the request \a id.
    virtual http_fields echo(const std::string& id) const = 0;

    /// Returns the call that makes \a pieces at the target \a target_id.
    virtual http_request
    make_pieces(const std::string& target_id,
                const std::vector<piece_order>& pieces) const = 0;

    /// Returns the results in the answer to such a call, in the order of the
    /// pieces. Throws facts_error.
    virtual std::vector<piece_result>
    piece_results(std::string_view body) const = 0;

    /// Returns the call that lets go of results.
    virtual http_request
    release_results(const std::vector<std::string>& handles) const = 0;

    /// Returns the address of the maker of a result, "IP:port".
    virtual std::string maker_of(const std::string& handle) const = 0;
};

} // namespace mangofold::serving
