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

/// The complete request path of an entry on loopback, with a paused clock and
/// with targets whose responses the test scripts.
class serving_fixture : public serving::job_executor
{
public:
    explicit serving_fixture(std::size_t memory_bytes = 0);
    ~serving_fixture() override;

    /// Adds a target of the service "plain", "events" or "pieces" that reacts
    /// to requests with \a script.
    scripted_target& add_target(const std::string& service,
                                scripted_target::script script,
                                const std::string& zone = "a",
                                const std::string& version = "v1");

    /// A caller's connection to the entry, with all that was received on it.
    struct caller
    {
        explicit caller(serving::asio::io_context& loop) : socket(loop) {}
        serving::tcp::socket socket;
        std::string received;
        bool is_ended = false;
        bool is_reset = false;
    };

    std::shared_ptr<caller> connect();
    void send(caller& to, const std::string& bytes);

    /// Runs the loop until \a is_done returns true. Fails the test if that
    /// takes too many steps.
    void run_until(const std::function<bool()>& is_done);

    /// Runs the loop for a short real time, enough for the work that can
    /// proceed without moving the paused clock.
    void settle();

    /// Sends \a request on a new connection. Returns the bytes received when
    /// they contain \a end or the connection has ended.
    std::string send_and_receive(const std::string& request,
                                 const std::string& end = "\r\n\r\n");

    serving::asio::io_context loop{1};
    runtime::paused_clock time;
    plain_dialect dialect;
    std::unique_ptr<serving::entry_context> context;
    std::unique_ptr<serving::piece_batcher> batcher;
    std::unique_ptr<serving::request_server> server;
    std::vector<decision::stage_job> jobs; ///< All jobs requested so far.

    void execute(const std::string& service, decision::stage_job job,
                 serving::pending_job_ptr pending) override;
    void release(const std::string& service,
                 std::vector<std::string> handles) override;

private:
    /// Keeps the loop's lag up to date, as an entry process does.
    serving::awaitable<void> note_timer_runs();
    serving::awaitable<void> receive(std::shared_ptr<caller> to);

    std::vector<std::unique_ptr<scripted_target>> m_targets;
};

/// Returns the bytes of a request to \a path with the id \a id and the header
/// lines \a headers.
std::string request_text(const std::string& path, const std::string& id,
                         const std::string& headers = {});

/// Returns the bytes of a target's complete response to the request \a id.
std::string response_text(const std::string& id, const std::string& body,
                          const std::string& status = "200 OK",
                          const std::string& headers = "Seal: s\r\n");

} // namespace mangofold::test
