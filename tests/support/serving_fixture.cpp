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
    catalog::route result;
    result.name = name;
    result.host = "h";
    result.prefix = "/" + name + "/";
    result.timeout = 5s;
    result.latency_objective = 1s;
    result.services = {{service, 1}};
    return result;
}

catalog::document document()
{
    catalog::document result;
    result.version = 1;
    result.checks_keys = true;
    result.accounts = {{"club", 0, {"good-key"}}};
    catalog::route repeatable = route("again", "plain");
    repeatable.is_repeatable = true;
    repeatable.max_targets = 2;
    catalog::route events = route("events", "events");
    events.is_stream = true;
    events.is_resumable = true;
    events.max_targets = 2;
    catalog::route once_events = route("once-events", "events");
    once_events.is_stream = true;
    catalog::route staged = route("staged", "events");
    staged.is_stream = true;
    staged.stages = {{"pieces", {}, 10}, {"pieces", {0}, 10}};
    catalog::route parallel = staged;
    parallel.name = "beside";
    parallel.prefix = "/beside/";
    parallel.stages = {
        {"pieces", {}, 900}, {"pieces", {}, 10}, {"pieces", {1}, 10}};
    result.routes = {route("once", "plain"),
                     repeatable,
                     events,
                     once_events,
                     staged,
                     parallel};
    result.services = {
        {"plain", 10, {}, {}},
        {"events", 10, {}, catalog::engine_capacity{4, 1000}, {3s, 16}},
        {"pieces",
         10,
         catalog::call_profile{1, 1, 8, 200ms, 10ms, 1000, 4s, 1e9},
         {}}};
    for (catalog::service& service : result.services)
        service.status_path = status_path;
    return result;
}

} // namespace

serving_fixture::serving_fixture(std::size_t memory_bytes)
{
    loop_clock::set_source(time, true);
    node_settings settings;
    settings.zone = "a";
    settings.caller_address = {"127.0.0.1", 0};
    settings.retry_reserve = 100;
    settings.retry_share = 0.2;
    settings.memory_bytes = memory_bytes;
    context = std::make_unique<entry_context>(loop, time, dialect, settings, 7);
    context->catalog = std::make_shared<catalog::catalog_index>(document());
    context->has_some_targets = true;
    context->evacuations.merge({{}, 1});
    context->directory.set_source_available(true, time.now());
    context->stage_executor = this;
    batcher = std::make_unique<piece_batcher>(*context);
    server = std::make_unique<request_server>(*context);
    spawn(loop, server->run());
    spawn(loop, batcher->run());
    spawn(loop, note_timer_runs());
}

awaitable<void> serving_fixture::note_timer_runs()
{
    for (;;)
    {
        context->loop_lag.note_timer_run(context->now());
        loop_timer timer(loop, loop_probe_interval);
        error_code ignored; // The timer is never cancelled.
        co_await timer.async_wait(store_error_in(ignored));
    }
}

serving_fixture::~serving_fixture()
{
    // The coroutines refer to members that are destroyed next, so they must
    // not run again.
    loop.stop();
}

scripted_target& serving_fixture::add_target(const std::string& service,
                                             scripted_target::script script,
                                             const std::string& zone,
                                             const std::string& version)
{
    m_targets.push_back(
        std::make_unique<scripted_target>(loop, std::move(script)));
    const std::uint64_t number = m_targets.size();
    context->directory.note({"t" + std::to_string(number),
                             service,
                             m_targets.back()->address(),
                             zone,
                             4,
                             false,
                             number,
                             {},
                             version});
    return *m_targets.back();
}

std::shared_ptr<serving_fixture::caller> serving_fixture::connect()
{
    auto connection = std::make_shared<caller>(loop);
    connection->socket.connect(
        {asio::ip::address_v4::loopback(), server->port()});
    spawn(loop, receive(connection));
    return connection;
}

awaitable<void> serving_fixture::receive(std::shared_ptr<caller> to)
{
    std::array<char, 4096> chunk{};
    for (;;)
    {
        error_code fault;
        const std::size_t count = co_await to->socket.async_read_some(
            asio::buffer(chunk), store_error_in(fault));
        to->received.append(chunk.data(), count);
        if (!fault)
            continue;
        to->is_ended = true;
        to->is_reset = fault == asio::error::connection_reset;
        co_return;
    }
}

void serving_fixture::send(caller& to, const std::string& bytes)
{
    asio::write(to.socket, asio::buffer(bytes));
}

void serving_fixture::settle()
{
    constexpr int steps = 40;
    for (int step = 0; step < steps; ++step)
        loop.run_for(1ms);
}

void serving_fixture::run_until(const std::function<bool()>& is_done)
{
    constexpr int max_steps = 20000;
    for (int step = 0; step < max_steps && !is_done(); ++step)
        loop.run_for(1ms);
    REQUIRE(is_done());
}

std::string serving_fixture::send_and_receive(const std::string& request,
                                              const std::string& end)
{
    const auto connection = connect();
    send(*connection, request);
    run_until(
        [&]
        {
            return connection->is_ended ||
                   connection->received.find(end) != std::string::npos;
        });
    settle();
    return connection->received;
}

void serving_fixture::execute(const std::string& service,
                              decision::stage_job job, pending_job_ptr pending)
{
    jobs.push_back(job);
    batcher->add(
        service, std::move(job),
        [pending](job_outcome outcome)
        {
            const bool is_wanted = !pending->is_cancelled();
            pending->set_outcome(std::move(outcome));
            return is_wanted;
        },
        [pending] { return !pending->is_cancelled(); },
        [pending] { pending->set_inputs_fetched(); });
}

void serving_fixture::release(const std::string& service,
                              std::vector<std::string> handles)
{
    batcher->release(service, handles);
}

std::string request_text(const std::string& path, const std::string& id,
                         const std::string& headers)
{
    return "GET " + path +
           " HTTP/1.1\r\nHost: h\r\nKey: good-key\r\nId: " + id + "\r\n" +
           headers + "\r\n";
}

std::string response_text(const std::string& id, const std::string& body,
                          const std::string& status, const std::string& headers)
{
    return "HTTP/1.1 " + status + "\r\nId: " + id + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace mangofold::test
