#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

#include <boost/asio/ip/address_v4.hpp>

namespace mangofold::test
{

using namespace serving;
using namespace std::chrono_literals;

namespace
{

catalog::route route(const std::string& name, const std::string& service)
{
    catalog::route one;
    one.name = name;
    one.host = "h";
    one.prefix = "/" + name + "/";
    one.timeout = 5s;
    one.latency_objective = 1s;
    one.services = {{service, 1}};
    return one;
}

catalog::document document()
{
    catalog::document made;
    made.version = 1;
    made.checks_keys = true;
    made.accounts = {{"club", 0, {"good-key"}}};
    catalog::route again = route("again", "plain");
    again.is_repeatable = true;
    again.max_targets = 2;
    catalog::route events = route("events", "events");
    events.is_stream = true;
    events.is_resumable = true;
    events.max_targets = 2;
    catalog::route once_events = route("once-events", "events");
    once_events.is_stream = true;
    catalog::route staged = route("staged", "events");
    staged.is_stream = true;
    staged.stages = {{"pieces", {}, 10}, {"pieces", {0}, 10}};
    catalog::route beside = staged;
    beside.name = "beside";
    beside.prefix = "/beside/";
    beside.stages = {
        {"pieces", {}, 900}, {"pieces", {}, 10}, {"pieces", {1}, 10}};
    made.routes = {
        route("once", "plain"), again, events, once_events, staged, beside};
    made.services = {
        {"plain", 10, {}, {}},
        {"events", 10, {}, catalog::engine_capacity{4, 1000}, {3s, 16}},
        {"pieces",
         10,
         catalog::call_profile{1, 1, 8, 200ms, 10ms, 1000, 4s, 1e9},
         {}}};
    return made;
}

} // namespace

serving_fixture::serving_fixture()
{
    loop_clock::set_source(time, true);
    node_settings settings;
    settings.zone = "a";
    settings.caller_address = {"127.0.0.1", 0};
    settings.retry_reserve = 100;
    settings.retry_share = 0.2;
    context = std::make_unique<entry_context>(loop, time, speech, settings, 7);
    context->catalog = std::make_shared<catalog::catalog_index>(document());
    context->has_some_targets = true;
    context->evacuations.merge({{}, 1});
    context->directory.set_source_available(true, time.now());
    context->pieces = this;
    gathering = std::make_unique<piece_batcher>(*context);
    server = std::make_unique<request_server>(*context);
    start(loop, server->run());
    start(loop, gathering->run());
    start(loop, note_turns());
}

awaitable<void> serving_fixture::note_turns()
{
    for (;;)
    {
        context->loop_lag.note_timer_run(context->now());
        loop_timer timer(loop, loop_probe_interval);
        error_code ignored; // Nobody cancels it.
        co_await timer.async_wait(into(ignored));
    }
}

serving_fixture::~serving_fixture()
{
    // Coroutines hold parts of what follows, so they end first.
    loop.stop();
}

scripted_target& serving_fixture::add_target(const std::string& service,
                                             scripted_target::script reacts,
                                             const std::string& zone)
{
    m_targets.push_back(
        std::make_unique<scripted_target>(loop, std::move(reacts)));
    const std::uint64_t number = m_targets.size();
    context->directory.note({"t" + std::to_string(number), service,
                             m_targets.back()->address(), zone, 4, false,
                             number});
    return *m_targets.back();
}

std::shared_ptr<serving_fixture::caller> serving_fixture::connect()
{
    auto one = std::make_shared<caller>(loop);
    one->socket.connect({asio::ip::address_v4::loopback(), server->port()});
    start(loop, receive(one));
    return one;
}

awaitable<void> serving_fixture::receive(std::shared_ptr<caller> one)
{
    std::array<char, 4096> chunk{};
    for (;;)
    {
        error_code fault;
        const std::size_t count = co_await one->socket.async_read_some(
            asio::buffer(chunk), into(fault));
        one->received.append(chunk.data(), count);
        if (!fault)
            continue;
        one->is_ended = true;
        one->is_reset = fault == asio::error::connection_reset;
        co_return;
    }
}

void serving_fixture::send(caller& one, const std::string& bytes)
{
    asio::write(one.socket, asio::buffer(bytes));
}

void serving_fixture::settle()
{
    constexpr int steps = 40;
    for (int step = 0; step < steps; ++step)
        loop.run_for(1ms);
}

void serving_fixture::run_until(const std::function<bool()>& done)
{
    constexpr int most_steps = 20000;
    for (int step = 0; step < most_steps && !done(); ++step)
        loop.run_for(1ms);
    REQUIRE(done());
}

std::string serving_fixture::ask(const std::string& request,
                                 const std::string& end)
{
    const auto one = connect();
    send(*one, request);
    run_until(
        [&] {
            return one->is_ended ||
                   one->received.find(end) != std::string::npos;
        });
    settle();
    return one->received;
}

void serving_fixture::execute(const std::string& service,
                              decision::stage_job job, pending_job_ptr wait)
{
    jobs.push_back(job);
    gathering->add(
        service, std::move(job),
        [wait](job_outcome value)
        {
            const bool is_wanted = !wait->is_cancelled();
            wait->set_outcome(std::move(value));
            return is_wanted;
        },
        [wait] { return !wait->is_cancelled(); },
        [wait] { wait->set_inputs_fetched(); });
}

void serving_fixture::release(const std::string& service,
                              std::vector<std::string> handles)
{
    gathering->release(service, handles);
}

std::string request(const std::string& path, const std::string& id,
                    const std::string& more)
{
    return "GET " + path +
           " HTTP/1.1\r\nHost: h\r\nKey: good-key\r\nId: " + id + "\r\n" +
           more + "\r\n";
}

std::string answer(const std::string& id, const std::string& body,
                   const std::string& status, const std::string& more)
{
    return "HTTP/1.1 " + status + "\r\nId: " + id + "\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace mangofold::test
