#include "platform.hpp"
#include "target.hpp"

#include "runtime/log.hpp"
#include "runtime/program.hpp"

#include <boost/program_options/value_semantic.hpp>

#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

using namespace mangofold;
namespace po = boost::program_options;

namespace
{

/// A simulated platform or target and the HTTP server that exposes it.
class standin
{
public:
    explicit standin(const runtime::settings& flags)
        : m_server("standin", runtime::address_flag(flags, "listen"),
                   {2, flags.value<unsigned>("threads"), 1U << 21U})
    {
        const auto kind = flags.value<std::string>("kind");
        if (kind == "platform")
        {
            std::ifstream file(flags.required_string("manifest"));
            std::ostringstream manifest;
            manifest << file.rdbuf();
            m_platform = std::make_unique<standins::platform>(
                manifest.str(), std::chrono::milliseconds(
                                    flags.value<unsigned>("list-lag-ms")));
            m_platform->add_to(m_server);
            return;
        }
        standins::behaviour initial;
        initial.service_ms = flags.value<unsigned>("service-ms");
        initial.slots = flags.value<unsigned>("slots");
        m_target = std::make_unique<standins::target>(
            flags.required_string("id"), kind, initial,
            flags.value<std::string>("record"));
        m_target->add_to(m_server);
    }

    void start() { m_server.start(); }
    void check() {}
    void stop() { m_server.stop(); }

private:
    runtime::http_server m_server;
    std::unique_ptr<standins::platform> m_platform;
    std::unique_ptr<standins::target> m_target;
};

} // namespace

int main(int argc, char** argv)
{
    runtime::hold_signals();
    runtime::settings flags(
        "standin: simulates the platform or a target for tests and benchmarks");
    flags.descriptions().add_options()("kind", po::value<std::string>())(
        "id", po::value<std::string>()->default_value("platform"))(
        "listen", po::value<std::string>())("manifest",
                                            po::value<std::string>())(
        "list-lag-ms", po::value<unsigned>()->default_value(500))(
        "service-ms", po::value<unsigned>()->default_value(0))(
        "slots", po::value<unsigned>()->default_value(8))(
        "threads", po::value<unsigned>()->default_value(64))(
        "record", po::value<std::string>()->default_value(""));
    try
    {
        flags.read(argc, argv);
        runtime::start_log("standin", flags.value<std::string>("id"),
                           "warning");
        return runtime::run_until_signalled(
            [&] { return std::make_unique<standin>(flags); });
    }
    catch (const std::exception& error)
    {
        std::cerr << "standin: " << error.what() << '\n';
        return runtime::exit_bad_settings;
    }
}
