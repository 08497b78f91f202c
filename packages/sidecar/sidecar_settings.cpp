#include "sidecar/sidecar_settings.hpp"

#include <boost/program_options/value_semantic.hpp>

namespace mangofold::sidecar
{

namespace po = boost::program_options;

void add_flags(runtime::settings& flags)
{
    const sidecar_settings defaults;
    const auto number = [](unsigned default_value)
    { return po::value<unsigned>()->default_value(default_value); };
    auto add = flags.descriptions().add_options();
    add("help", "print this text");
    add("version", "print the version");
    add("target-id", po::value<std::string>(),
        "ID of the target in the manifest");
    add("zone", po::value<std::string>(), "availability zone");
    add("listen", po::value<std::string>(), "IP:port for entries");
    add("admin", po::value<std::string>(),
        "IP:port for /metrics, /healthz, /readyz and /status");
    add("target", po::value<std::string>(), "IP:port of the target");
    add("platform", po::value<std::string>(),
        "IP:port of the configuration service and instance list");
    add("target-threads", number(defaults.target_threads),
        "maximum concurrent calls to the target (1-512)");
    add("grant-interval-ms", number(defaults.grant_interval_ms),
        "interval between grants to an entry (50-1000)");
    add("poll-interval-ms", number(defaults.poll_interval_ms),
        "interval between reads of the manifest (100-3600000)");
    add("ledger-keys", number(defaults.ledger_keys),
        "maximum number of remembered non-repeatable calls (1-10000000)");
    add("ledger-bytes", number(defaults.ledger_bytes),
        "maximum bytes of stored outcomes (1024-1073741824)");
    add("drain-ms", number(defaults.drain_ms),
        "maximum wait for work in progress at shutdown (0-600000)");
    add("log-level", po::value<std::string>()->default_value("info"),
        "trace, debug, info, warning, error or off");
}

sidecar_settings checked_settings(const runtime::settings& flags)
{
    sidecar_settings value;
    value.target_id = flags.required_string("target-id");
    value.zone = flags.required_string("zone");
    value.listen = runtime::address_flag(flags, "listen");
    value.admin = runtime::address_flag(flags, "admin");
    value.target = runtime::address_flag(flags, "target");
    value.platform = runtime::address_flag(flags, "platform");
    value.target_threads = flags.number_in_range("target-threads", 1, 512);
    value.grant_interval_ms =
        flags.number_in_range("grant-interval-ms", 50, 1000);
    value.poll_interval_ms =
        flags.number_in_range("poll-interval-ms", 100, 3600000);
    value.ledger_keys = flags.number_in_range("ledger-keys", 1, 10'000'000);
    value.ledger_bytes = flags.number_in_range("ledger-bytes", 1024, 1U << 30U);
    value.drain_ms = flags.number_in_range("drain-ms", 0, 600'000);
    value.log_level = flags.value<std::string>("log-level");
    return value;
}

} // namespace mangofold::sidecar
