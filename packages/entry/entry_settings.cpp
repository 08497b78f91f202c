#include "entry/entry_settings.hpp"

#include <boost/program_options/value_semantic.hpp>

#include <sstream>

namespace mangofold::entry
{

namespace po = boost::program_options;

namespace
{

std::vector<runtime::address> parse_seeds(const std::string& text)
{
    std::vector<runtime::address> seeds;
    std::istringstream stream(text);
    std::string seed;
    while (std::getline(stream, seed, ','))
        seeds.push_back(runtime::parse_address_flag("seeds", seed));
    return seeds;
}

} // namespace

void add_flags(runtime::settings& flags)
{
    const entry_settings defaults;
    const auto number = [](unsigned default_value)
    { return po::value<unsigned>()->default_value(default_value); };
    auto add = flags.descriptions().add_options();
    add("help", "print this text");
    add("version", "print the version");
    add("id", po::value<std::string>(), "ID of this entry");
    add("zone", po::value<std::string>(), "availability zone");
    add("listen", po::value<std::string>(), "IP:port for clients");
    add("admin", po::value<std::string>(),
        "IP:port for /metrics, /healthz, /readyz and /status");
    add("platform", po::value<std::string>(),
        "IP:port of the configuration service and instance list");
    add("seeds", po::value<std::string>()->default_value(""),
        "comma-separated IP:port of sidecars to read the manifest from while "
        "the configuration service is down");
    add("http-threads", number(defaults.http_threads),
        "threads that serve clients (4-4096)");
    add("max-in-progress", number(defaults.max_in_progress),
        "maximum requests in progress, less than --http-threads (1-4095)");
    add("max-body-bytes", number(defaults.max_body_bytes),
        "maximum size of a request body (1024-16777216)");
    add("links-per-pool", number(defaults.links_per_pool),
        "sidecars of each pool to connect to (2-1024)");
    add("drain-ms", number(defaults.drain_ms),
        "maximum wait for requests in progress at shutdown (0-600000)");
    add("log-level", po::value<std::string>()->default_value("info"),
        "trace, debug, info, warning, error or off");
}

entry_settings checked_settings(const runtime::settings& flags)
{
    entry_settings value;
    value.id = flags.required_string("id");
    value.zone = flags.required_string("zone");
    value.listen = runtime::address_flag(flags, "listen");
    value.admin = runtime::address_flag(flags, "admin");
    value.platform = runtime::address_flag(flags, "platform");
    value.seeds = parse_seeds(flags.value<std::string>("seeds"));
    value.http_threads = flags.number_in_range("http-threads", 4, 4096);
    value.max_in_progress = flags.number_in_range("max-in-progress", 1, 4095);
    value.max_body_bytes =
        flags.number_in_range("max-body-bytes", 1024, 1U << 24U);
    value.links_per_pool = flags.number_in_range("links-per-pool", 2, 1024);
    value.drain_ms = flags.number_in_range("drain-ms", 0, 600'000);
    value.log_level = flags.value<std::string>("log-level");
    // With as many requests as threads, no thread would be left to refuse
    // further requests.
    if (value.max_in_progress >= value.http_threads)
        throw runtime::settings_error(
            "--max-in-progress must be less than --http-threads");
    return value;
}

} // namespace mangofold::entry
