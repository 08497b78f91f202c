#pragma once

#include "serving/records/record_keeper.hpp"
#include "serving/stream_registry.hpp"
#include "support/complete_responses.hpp"
#include "support/serving_fixture.hpp"

#include <memory>
#include <string>
#include <vector>

namespace mangofold::test
{

using namespace std::chrono_literals;

inline const std::string completed = "0\r\n\r\n";
inline const std::string resumes_r1 = "After: 2\r\nResumes: r1\r\n";

/// An entry that has just started and knows no other one. It has not read the
/// whole list of targets.
class starting_entry : public serving_fixture, public serving::stream_channel
{
public:
    starting_entry()
    {
        context->streams = &streams;
        context->startup_wait_end = time.now() + 500ms;
    }

    std::vector<std::string> stream_keepers() const override { return {}; }
    bool is_fleet_known() const override { return true; }
    std::vector<std::string> record_keepers() const override
    {
        return keeper == nullptr ? std::vector<std::string>()
                                 : std::vector<std::string>{"k1"};
    }

    bool is_record_keeper(const std::string& address) const override
    {
        return address == "k1";
    }

    void send(const std::string& address, const peer::Frame& frame) override
    {
        const auto reply = keeper->handle(frame);
        if (reply->has_stream_answer())
            streams.handle_answer(address, reply->stream_answer());
    }

    using serving_fixture::send;

    void add_engine(const std::string& version, const std::string& zone = "a")
    {
        add_target(
            "events",
            [version](const std::string& request, std::size_t)
            {
                const std::string event = "id: 3\ndata: " + version + "\n\n";
                return scripted_target::response{
                    "HTTP/1.1 200 OK\r\nId: " + request_id_of(request) +
                        "\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n10"
                        "\r\n" +
                        event + "\r\n" + completed,
                    scripted_target::response::connection_action::keep};
            },
            zone, version);
    }

    /// Records that the stream of the request "r1" began at \a origin.
    void record(const decision::stream_origin& origin)
    {
        streams.record(
            decision::make_stream_key("club", "h", "/events/r1", "r1"), origin,
            5s);
    }

    /// Sends a request that takes up this stream.
    std::shared_ptr<caller> take_up()
    {
        auto connection = connect();
        send(*connection, request_text("/events/r1", "r2", resumes_r1));
        settle();
        return connection;
    }

    std::string answer_to(caller& connection)
    {
        run_until(
            [&]
            {
                time.advance(1ms);
                return connection.is_ended ||
                       contains(connection.received, completed) ||
                       contains(connection.received, "{\"error\"");
            });
        return connection.received;
    }

    serving::stream_registry streams{*context, *this};
    serving::record_keeper* keeper = nullptr; ///< Null: it is not known yet.
};

} // namespace mangofold::test
