#pragma once

#include "runtime/paused_clock.hpp"
#include "serving/piece_batcher.hpp"
#include "serving/request_server.hpp"
#include "support/plain_dialect.hpp"
#include "support/scripted_target.hpp"

#include <memory>
#include <string>
#include <vector>

namespace mangofold::test
{

/// An entry's request path on loopback, with a paused clock and targets that
/// a test scripts.
class serving_fixture : public serving::job_executor
{
public:
    serving_fixture();
    ~serving_fixture() override;

    /// Adds a target of the service "plain", "events" or "pieces".
    scripted_target& add_target(const std::string& service,
                                scripted_target::script reacts,
                                const std::string& zone = "a");

    /// A caller's connection.
    struct caller
    {
        explicit caller(serving::asio::io_context& loop) : socket(loop) {}
        serving::tcp::socket socket;
        std::string received;
        bool is_ended = false;
        bool is_reset = false;
    };

    std::shared_ptr<caller> connect();
    void send(caller& one, const std::string& bytes);

    /// Runs the loop until \a done, or fails the test after many steps.
    void run_until(const std::function<bool()>& done);

    /// Runs what can run now.
    void settle();

    /// Sends \a request on a new connection; returns what came once \a end
    /// was seen in it.
    std::string ask(const std::string& request,
                    const std::string& end = "\r\n\r\n");

    serving::asio::io_context loop{1};
    runtime::paused_clock time;
    plain_dialect speech;
    std::unique_ptr<serving::entry_context> context;
    std::unique_ptr<serving::piece_batcher> gathering;
    std::unique_ptr<serving::request_server> server;
    std::vector<decision::stage_job> jobs; ///< As they were asked for.

    void execute(const std::string& service, decision::stage_job job,
                 serving::pending_job_ptr wait) override;
    void release(const std::string& service,
                 std::vector<std::string> handles) override;

private:
    serving::awaitable<void> note_turns();
    serving::awaitable<void> receive(std::shared_ptr<caller> one);

    std::vector<std::unique_ptr<scripted_target>> m_targets;
};

/// Returns a request to \a path with the id \a id.
std::string request(const std::string& path, const std::string& id,
                    const std::string& more = {});

/// Returns a whole answer of a target to the request \a id.
std::string answer(const std::string& id, const std::string& body,
                   const std::string& status = "200 OK",
                   const std::string& more = "Seal: s\r\n");

} // namespace mangofold::test
