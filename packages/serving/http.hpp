#pragma once

#include "serving/asio.hpp"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <string_view>

namespace mangofold::serving
{

namespace http = boost::beast::http;

using http_fields = http::fields;
using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;
using http_response_head = http::response_header<>;

/// Returns \a text as a standard string view.
inline std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Returns the bytes of \a request, with a Content-Length header if it has a
/// body. \a host becomes the Host header if the request has none.
std::string serialize(const http_request& request, const std::string& host);

/// Returns the bytes of the head of \a request, whose body of \a body_bytes
/// follows separately.
std::string serialize_head(const http_request& request, const std::string& host,
                           std::size_t body_bytes);

/// Returns the bytes of a response's status line and header \a fields.
std::string serialize_head(unsigned status, const http_fields& fields);

/// Whether \a name is a hop-by-hop header field: it concerns one connection
/// only and must not be forwarded.
bool is_hop_by_hop(std::string_view name);

/// Whether one of the \a lines of a head begins with a blank, which makes it a
/// part of the field before it (obs-fold).
bool has_folded_line(std::string_view lines);

/// Returns \a text in lower case.
std::string to_lower(std::string_view text);

} // namespace mangofold::serving
