#include "entry/request.hpp"

#include <nlohmann/json.hpp>

namespace mangofold::entry
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_name_bytes = 200;
constexpr std::uint64_t max_deadline_ms = 600'000;

std::string name_member(const json& body, const char* name, bool is_required)
{
    const auto found = body.find(name);
    if (found == body.end())
    {
        if (is_required)
            throw request_error(std::string("'") + name + "' is missing");
        return {};
    }
    if (!found->is_string())
        throw request_error(std::string("'") + name + "' must be a string");
    const auto& text = found->get_ref<const std::string&>();
    const bool has_control = std::any_of(
        text.begin(), text.end(),
        [](unsigned char byte) { return byte < 0x20 || byte == 0x7f; });
    if (text.empty() || text.size() > max_name_bytes || has_control)
        throw request_error(std::string("'") + name +
                            "' must have 1 to 200 bytes and no control "
                            "characters");
    return text;
}

decision::duration deadline_member(const json& body)
{
    const auto found = body.find("deadline_ms");
    if (found == body.end())
        return {};
    if (!found->is_number_unsigned() || *found == 0 || *found > max_deadline_ms)
        throw request_error(
            "'deadline_ms' must be a whole number from 1 to 600000");
    return std::chrono::milliseconds(found->get<std::uint64_t>());
}

// The text is a list of "stage target incarnation serial", separated by
// semicolons. It needs no signature: a forged ticket is only refused.
std::vector<stage_ticket> parse_tickets(const std::string& text)
{
    std::vector<stage_ticket> tickets;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ';'))
    {
        std::istringstream fields(part);
        stage_ticket parsed;
        fields >> parsed.stage >> parsed.value.target >>
            parsed.value.incarnation >> parsed.value.serial;
        if (fields.fail())
            throw request_error(
                "'ticket' is not a ticket issued by this system");
        tickets.push_back(std::move(parsed));
    }
    return tickets;
}

} // namespace

request parse_request(const std::string& body)
{
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object())
        throw request_error("the request body must be a JSON object");
    request value;
    value.pipeline = name_member(parsed, "pipeline", true);
    value.account = name_member(parsed, "account", true);
    value.id = name_member(parsed, "request_id", false);
    value.deadline = deadline_member(parsed);
    const auto input = parsed.find("input");
    if (input != parsed.end())
        value.input = input->dump();
    const auto ticket = parsed.find("ticket");
    if (ticket != parsed.end())
    {
        if (!ticket->is_string())
            throw request_error("'ticket' must be a string");
        value.tickets = parse_tickets(ticket->get<std::string>());
    }
    return value;
}

decision::digest content_digest(const request& value)
{
    return decision::digest_of(value.pipeline, value.input);
}

std::string to_text(const std::vector<stage_ticket>& tickets)
{
    std::string text;
    for (const stage_ticket& ticket : tickets)
    {
        text += text.empty() ? "" : ";";
        text += ticket.stage + " " + ticket.value.target + " " +
                std::to_string(ticket.value.incarnation) + " " +
                std::to_string(ticket.value.serial);
    }
    return text;
}

} // namespace mangofold::entry
