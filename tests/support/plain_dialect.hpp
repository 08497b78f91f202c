#pragma once

#include "serving/dialect.hpp"

#include <charconv>
#include <sstream>

namespace mangofold::test
{

/// A minimal dialect with short header names, for tests that do not depend on
/// the names and formats of the real one.
class plain_dialect : public serving::dialect
{
public:
    serving::request_metadata
    parse_request(const serving::http_request& request) const override
    {
        serving::request_metadata metadata;
        metadata.id = text(request, "Id");
        if (metadata.id.empty())
            throw serving::invalid_message("request has no id");
        metadata.host = text(request, "Host");
        metadata.path = serving::view(request.target());
        const std::string budget = text(request, "Budget");
        if (!budget.empty())
            metadata.budget = std::chrono::milliseconds(std::stoi(budget));
        if (request.count("Key") > 0)
            metadata.key = text(request, "Key");
        for (const char digit : text(request, "Pieces"))
            metadata.pieces.push_back(static_cast<std::uint32_t>(digit - '0'));
        metadata.piece_key = "k";
        metadata.prompt = prompt(text(request, "Prompt"));
        metadata.last_event_id = text(request, "After");
        metadata.resumed_request = text(request, "Resumes");
        return metadata;
    }

    void
    set_addressee(serving::http_fields& fields, const std::string& id,
                  const decision::target_incarnation& target) const override
    {
        fields.set("Id", id);
        fields.set("To", target.id);
    }

    serving::http_fields forwarded_fields(
        const serving::http_request& request,
        const serving::forwarding_metadata& metadata) const override
    {
        serving::http_fields fields;
        for (const auto& field : request)
            if (!serving::is_hop_by_hop(serving::view(field.name_string())) &&
                field.name_string() != "Key")
                fields.insert(field.name_string(), field.value());
        if (metadata.account)
            fields.set("Account", *metadata.account);
        if (metadata.priority)
            fields.set("Priority", std::to_string(*metadata.priority));
        if (metadata.last_event_id)
            fields.set("After", *metadata.last_event_id);
        return fields;
    }

    serving::response_metadata
    parse_response(const serving::http_response_head& response) const override
    {
        serving::response_metadata metadata;
        metadata.id = text(response, "Id");
        metadata.target = text(response, "Target");
        metadata.has_not_run = response.count("Not-Run") > 0;
        metadata.is_signed = response.count("Seal") > 0;
        metadata.is_misdirected = response.result_int() == 421;
        if (response.count("Limit") > 0)
            metadata.request_limit = std::stod(text(response, "Limit"));
        metadata.is_leaving = response.count("Leaving") > 0;
        if (response.count("Rest") > 0)
            metadata.rest =
                std::chrono::seconds(std::stoi(text(response, "Rest")));
        if (response.count("Load") > 0)
        {
            std::istringstream load(text(response, "Load"));
            decision::target_load_report report;
            load >> report.running >> report.waiting >> report.slots;
            double pace = 0;
            if (load >> pace)
                report.pace = pace;
            metadata.load = report;
        }
        metadata.keep_alive_timeout = std::chrono::seconds(10);
        return metadata;
    }

    serving::http_fields
    returned_fields(const serving::http_response_head& response) const override
    {
        serving::http_fields fields;
        for (const auto& field : response)
            if (!serving::is_hop_by_hop(serving::view(field.name_string())))
                fields.insert(field.name_string(), field.value());
        return fields;
    }

    serving::http_fields request_id_fields(const std::string& id) const override
    {
        serving::http_fields fields;
        fields.set("Id", id);
        return fields;
    }

    serving::http_request make_pieces_request(
        const std::vector<serving::piece_task>& pieces) const override
    {
        serving::http_request call{serving::http::verb::post, "/make", 11};
        for (const auto& piece : pieces)
        {
            call.body() += piece.request_id + "." +
                           std::to_string(piece.stage) + "." +
                           std::to_string(piece.piece);
            for (const auto& input : piece.inputs)
                call.body() += "<" + input;
            call.body() += "\n";
        }
        return call;
    }

    std::vector<serving::piece_result>
    parse_piece_results(std::string_view body) const override
    {
        std::vector<serving::piece_result> results;
        while (!body.empty())
        {
            const std::size_t end = std::min(body.find('\n'), body.size());
            const std::string line(body.substr(0, end));
            if (line == "unreadable")
                throw serving::invalid_message("no result");
            body.remove_prefix(std::min(end + 1, body.size()));
            using status_code = serving::piece_result::status_code;
            if (line == "gone")
                results.push_back({status_code::input_lost, {}});
            else if (line == "room")
                results.push_back({status_code::memory_full, {}});
            else
                results.push_back({status_code::succeeded, line});
        }
        return results;
    }

    serving::http_request
    make_release_request(const std::vector<std::string>& handles) const override
    {
        serving::http_request call{serving::http::verb::post, "/let-go", 11};
        for (const auto& handle : handles)
            call.body() += handle + "\n";
        return call;
    }

    std::string producer_address(const std::string& handle) const override
    {
        return handle.substr(0, handle.find('/'));
    }

private:
    /// Returns the parts of a prompt whose ids are separated by spaces.
    static std::vector<serving::prompt_segment> prompt(const std::string& ids)
    {
        std::vector<serving::prompt_segment> parts;
        std::istringstream rest(ids);
        for (std::string id; rest >> id;)
            parts.push_back({id, 10});
        return parts;
    }

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
