#include "serving/http.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace mangofold::serving
{

namespace
{

void append(std::string& out, std::string_view text)
{
    out.append(text);
}

void append_fields(std::string& out, const http_fields& fields)
{
    for (const auto& field : fields)
    {
        append(out, view(field.name_string()));
        append(out, ": ");
        append(out, view(field.value()));
        append(out, "\r\n");
    }
}

} // namespace

std::string serialize(const http_request& request, const std::string& host)
{
    std::string out = serialize_head(request, host, request.body().size());
    append(out, request.body());
    return out;
}

std::string serialize_head(const http_request& request, const std::string& host,
                           std::size_t body_bytes)
{
    std::string out;
    constexpr std::size_t typical_head_size = 1024;
    out.reserve(typical_head_size);
    append(out, view(request.method_string()));
    append(out, " ");
    append(out, view(request.target()));
    append(out, " HTTP/1.1\r\n");
    append_fields(out, request);
    if (request.count(http::field::host) == 0)
        append(out, "Host: " + host + "\r\n");
    const bool has_body = body_bytes > 0 ||
                          request.method() == http::verb::post ||
                          request.method() == http::verb::put ||
                          request.method() == http::verb::patch;
    if (has_body)
        append(out, "Content-Length: " + std::to_string(body_bytes) + "\r\n");
    append(out, "\r\n");
    return out;
}

std::string serialize_head(unsigned status, const http_fields& fields)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
    append(out, view(http::obsolete_reason(http::int_to_status(status))));
    append(out, "\r\n");
    append_fields(out, fields);
    append(out, "\r\n");
    return out;
}

bool is_hop_by_hop(std::string_view name)
{
    static constexpr std::array<std::string_view, 10> names{
        "connection",        "keep-alive",     "proxy-connection",
        "transfer-encoding", "content-length", "te",
        "trailer",           "upgrade",        "expect",
        "proxy-authenticate"};
    const std::string lower_name = to_lower(name);
    return std::find(names.begin(), names.end(), lower_name) != names.end();
}

bool has_folded_line(std::string_view lines)
{
    return lines.find("\n ") != std::string_view::npos ||
           lines.find("\n\t") != std::string_view::npos;
}

std::string to_lower(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char character)
                   { return std::tolower(character); });
    return result;
}

} // namespace mangofold::serving
