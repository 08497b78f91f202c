#pragma once

#include "serving/dialect.hpp"

#include <charconv>

namespace mangofold::test
{

/// A minimal dialect with short header names, for tests that do not depend on
/// the names and formats of the real one.
class plain_dialect : public serving::dialect
{
public:
    serving::request_facts
    facts(const serving::http_request& request) const override
    {
        serving::request_facts facts;
        facts.id = text(request, "Id");
        if (facts.id.empty())
            throw serving::facts_error("request has no id");
        facts.host = text(request, "Host");
        facts.path = serving::view(request.target());
        const std::string budget = text(request, "Budget");
        if (!budget.empty())
            facts.budget = std::chrono::milliseconds(std::stoi(budget));
        if (request.count("Key") > 0)
            facts.key = text(request, "Key");
        for (const char digit : text(request, "Pieces"))
            facts.pieces.push_back(static_cast<std::uint32_t>(digit - '0'));
        facts.piece_key = "k";
        return facts;
    }

    serving::http_fields
    forwarded(const serving::http_request& request,
              const serving::send_marks& marks) const override
    {
        serving::http_fields fields;
        for (const auto& field : request)
            if (!serving::is_of_connection(
                    serving::view(field.name_string())) &&
                field.name_string() != "Key")
                fields.insert(field.name_string(), field.value());
        fields.set("To", marks.target_id);
        if (marks.account)
            fields.set("Account", *marks.account);
        if (marks.last_event_id)
            fields.set("After", *marks.last_event_id);
        return fields;
    }

    serving::answer_facts
    answer(const serving::http_answer_head& answer) const override
    {
        serving::answer_facts facts;
        facts.id = text(answer, "Id");
        facts.has_not_run = answer.count("Not-Run") > 0;
        facts.is_sealed = answer.count("Seal") > 0;
        facts.idle_time = std::chrono::seconds(10);
        return facts;
    }

    serving::http_fields
    returned(const serving::http_answer_head& answer) const override
    {
        serving::http_fields fields;
        for (const auto& field : answer)
            if (!serving::is_of_connection(serving::view(field.name_string())))
                fields.insert(field.name_string(), field.value());
        return fields;
    }

    serving::http_fields echo(const std::string& id) const override
    {
        serving::http_fields fields;
        fields.set("Id", id);
        return fields;
    }

    serving::http_request
    make_pieces(const std::string&,
                const std::vector<serving::piece_order>& pieces) const override
    {
        serving::http_request call{serving::http::verb::post, "/make", 11};
        for (const auto& piece : pieces)
        {
            call.body() += piece.request + "." + std::to_string(piece.stage) +
                           "." + std::to_string(piece.piece);
            for (const auto& input : piece.inputs)
                call.body() += "<" + input;
            call.body() += "\n";
        }
        return call;
    }

    std::vector<serving::piece_result>
    piece_results(std::string_view body) const override
    {
        std::vector<serving::piece_result> results;
        while (!body.empty())
        {
            const std::size_t end = std::min(body.find('\n'), body.size());
            const std::string line(body.substr(0, end));
            body.remove_prefix(std::min(end + 1, body.size()));
            using kind = serving::piece_result::kind;
            if (line == "gone")
                results.push_back({kind::gone, {}});
            else if (line == "room")
                results.push_back({kind::no_room, {}});
            else
                results.push_back({kind::made, line});
        }
        return results;
    }

    serving::http_request
    release_results(const std::vector<std::string>& handles) const override
    {
        serving::http_request call{serving::http::verb::post, "/let-go", 11};
        for (const auto& handle : handles)
            call.body() += handle + "\n";
        return call;
    }

    std::string maker_of(const std::string& handle) const override
    {
        return handle.substr(0, handle.find('/'));
    }

private:
    /// Returns the value of the field \a name, empty if there is none.
    static std::string text(const serving::http_fields& fields,
                            const char* name)
    {
        const auto found = fields.find(name);
        return found == fields.end()
                   ? std::string()
                   : std::string(serving::view(found->value()));
    }
};

} // namespace mangofold::test
