#include "entry/sidecar_link.hpp"
#include "manifest/parse.hpp"
#include "runtime/clock.hpp"
#include "sidecar/admission_controller.hpp"
#include "sidecar/link_server.hpp"

#include <doctest/doctest.h>

#include <thread>

using namespace mangofold;
using namespace std::chrono_literals;

namespace
{

const char* const manifest_text = R"({
    "generation": 1, "resend_horizon_ms": 6000, "zones": ["z1"], "models": [],
    "pools": [{"id": "p", "slots": 4, "targets": [
        {"id": "t1", "zone": "z1", "address": "127.0.0.1:28901",
         "sidecar": "127.0.0.1:28902"}]}],
    "pipelines": [{"id": "chat", "deadline_ms": 1000,
        "stages": [{"id": "generate", "pool": "p"}]}],
    "accounts": [{"id": "desk"}]})";

/// Completes every run immediately, with the request ID as its output.
class echo_executor : public sidecar::run_executor
{
public:
    explicit echo_executor(sidecar::admission_controller& admission)
        : m_admission(admission)
    {
    }

    void start(const decision::start_run& run) override
    {
        m_workers.emplace_back(
            [this, run]
            {
                m_admission.finish(run.run, {decision::stage_status::done,
                                             decision::reason::none,
                                             "\"" + run.key.request_id + "\"",
                                             1ms,
                                             {},
                                             false});
            });
    }

    void cancel(decision::run_id) override {}

    void join()
    {
        for (std::thread& worker : m_workers)
            worker.join();
        m_workers.clear();
    }

private:
    sidecar::admission_controller& m_admission;
    std::vector<std::thread> m_workers;
};

/// A sidecar that listens on a TCP port and has no target process.
struct sidecar_fixture
{
    runtime::system_clock clock;
    runtime::metrics counters;
    configuration::config_store store{counters};
    sidecar::admission_controller admission{
        {"t1", 11, clock.now()}, {2s, 100, 1024}, clock, counters};
    sidecar::link_server server{
        {"127.0.0.1", 28902}, "t1", admission, store, counters};
    echo_executor executor{admission};

    sidecar_fixture()
    {
        admission.set_outputs(server, executor);
        store.add_listener([this](const configuration::snapshot_ptr& snapshot)
                           { admission.configure(snapshot); });
        store.offer(manifest_text, configuration::source::service);
        server.start();
    }

    ~sidecar_fixture()
    {
        server.stop();
        executor.join();
    }
};

/// An entry with one link to the sidecar.
struct entry_fixture
{
    runtime::system_clock clock;
    runtime::metrics counters;
    configuration::config_store store{counters};
    entry::router routes{"z1", clock, 1};
    entry::link_context context{"e1", "z1", clock, counters, store, routes};
    std::shared_ptr<entry::sidecar_link> link =
        std::make_shared<entry::sidecar_link>(context, "t1", "127.0.0.1:28902");

    entry_fixture()
    {
        store.add_listener([this](const configuration::snapshot_ptr& snapshot)
                           { routes.configure(snapshot); });
        store.offer(manifest_text, configuration::source::service);
    }

    ~entry_fixture() { link->close(); }

    /// Sends one request and returns its result, or "none" without one. Retries
    /// until the link accepts the request.
    std::string send_request(const std::string& id)
    {
        const auto replies = std::make_shared<entry::mailbox>();
        decision::submission work;
        work.key = {"desk", id, "generate"};
        work.attempt = 1;
        work.budget = 5s;
        for (int attempt = 0; attempt < 1000; ++attempt)
        {
            link->maintain();
            if (link->submit(work, replies))
                break;
            std::this_thread::sleep_for(10ms);
        }
        const auto reply = replies->take(20s);
        if (!reply || !std::holds_alternative<entry::result_message>(*reply))
            return "none";
        return std::get<entry::result_message>(*reply).result.body;
    }
};

} // namespace

// Guards against a sidecar that ends by a segmentation fault, without a line
// that says why: another process has its address.
TEST_CASE("a sidecar whose address is in use reports it")
{
    sidecar_fixture first;
    sidecar::link_server second{{"127.0.0.1", 28902},
                                "t1",
                                first.admission,
                                first.store,
                                first.counters};
    CHECK_THROWS_WITH(second.start(), "cannot listen on 127.0.0.1:28902");
    second.stop();
}

TEST_SUITE("link")
{
    TEST_CASE("an entry receives the result of its submission")
    {
        const sidecar_fixture server_side;
        entry_fixture client_side;
        CHECK(client_side.send_request("r1") == "\"r1\"");
    }

    TEST_CASE("a link reconnects after the sidecar restarts")
    {
        entry_fixture client_side;
        for (const char* id : {"r1", "r2", "r3"})
        {
            const sidecar_fixture server_side;
            CHECK(client_side.send_request(id) ==
                  "\"" + std::string(id) + "\"");
        }
    }

    TEST_CASE("both sides of a link can close simultaneously")
    {
        // A planned shutdown of the fleet stops entries and sidecars together.
        // An entry once aborted there on a failed assertion in gRPC.
        for (int attempt = 0; attempt < 40; ++attempt)
        {
            auto server_side = std::make_unique<sidecar_fixture>();
            auto client_side = std::make_unique<entry_fixture>();
            client_side->send_request("r1");
            std::thread closing([&] { server_side.reset(); });
            client_side.reset();
            closing.join();
        }
    }
}
