// Sends an open-loop load to the entries and writes one JSON line per request
// with the outcome of each time the request was sent.

#include "decision/random_source.hpp"
#include "runtime/http_client.hpp"
#include "runtime/settings.hpp"

#include <boost/program_options/value_semantic.hpp>
#include <nlohmann/json.hpp>

#include <cmath>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

using namespace mangofold;
using nlohmann::json;
namespace po = boost::program_options;

namespace
{

using steady_clock = std::chrono::steady_clock;

/// One class of requests in the mix, with its arrival rate.
struct traffic_class
{
    std::string pipeline;
    std::string account;
    double rate_per_s = 1;
    double from_s = 0;
    double until_s = 1e9;
    unsigned deadline_ms = 2000;
    bool needs_ticket = false;
};

struct arrival
{
    double at_s = 0;
    const traffic_class* traffic = nullptr;
    std::string id;
};

std::vector<traffic_class> read_mix(const std::string& text)
{
    std::vector<traffic_class> mix;
    for (const json& entry : json::parse(text))
        mix.push_back(
            {entry.at("pipeline"), entry.at("account"), entry.at("rate_per_s"),
             entry.value("from_s", 0.0), entry.value("until_s", 1e9),
             entry.value("deadline_ms", 2000U), entry.value("ticket", false)});
    return mix;
}

std::vector<arrival> plan_arrivals(const std::vector<traffic_class>& mix,
                                   double seconds, std::uint64_t seed)
{
    decision::random_source random(seed);
    std::vector<arrival> arrivals;
    for (const traffic_class& traffic : mix)
    {
        double arrival_s = traffic.from_s;
        while (true)
        {
            arrival_s -= std::log(1 - random.fraction()) / traffic.rate_per_s;
            if (arrival_s >= std::min(seconds, traffic.until_s))
                break;
            arrivals.push_back(
                {arrival_s, &traffic,
                 traffic.pipeline + "-" + std::to_string(arrivals.size())});
        }
    }
    std::sort(arrivals.begin(), arrivals.end(),
              [](const arrival& a, const arrival& b)
              { return a.at_s < b.at_s; });
    return arrivals;
}

/// A caller that sends one request at a time. Unless keep-alive is requested,
/// uses a new connection each time it sends: on a reused connection, the HTTP
/// library resends a request by itself after a timeout.
class caller
{
public:
    caller(const std::vector<std::string>& entries, bool keep_alive)
        : m_keep_alive(keep_alive)
    {
        for (const std::string& entry : entries)
            m_entries.push_back(runtime::address::parse(entry));
    }

    /// Sends a request, and retries at the next entry after no answer or from a
    /// draining entry. Returns the result line.
    json serve(const arrival& request, std::size_t first_entry,
               steady_clock::time_point start_time)
    {
        const auto time_limit =
            std::chrono::milliseconds(request.traffic->deadline_ms);
        constexpr int max_attempts = 3;
        json outcomes = json::array();
        json body{{"pipeline", request.traffic->pipeline},
                  {"account", request.traffic->account},
                  {"request_id", request.id},
                  {"deadline_ms", request.traffic->deadline_ms},
                  {"input", {{"note", request.id}}}};
        if (request.traffic->needs_ticket &&
            !fetch_ticket(body, first_entry, time_limit))
            outcomes.push_back({{"outcome", "no_ticket"}});
        const bool is_sendable = outcomes.empty();
        for (int attempt = 0; is_sendable && attempt < max_attempts; ++attempt)
        {
            const auto time_left =
                time_limit - (steady_clock::now() - start_time);
            if (time_left <= std::chrono::milliseconds(1))
                break;
            // Requests with short deadlines reserve time for a retry.
            const bool has_long_deadline = time_limit > std::chrono::seconds(2);
            const json outcome =
                send(body, first_entry + attempt,
                     has_long_deadline ? time_left : time_left / 2);
            outcomes.push_back(outcome);
            const bool should_retry =
                outcome.at("outcome") == "no_answer" ||
                outcome.value("reason", "") == "entry_draining";
            if (!should_retry)
                break;
        }
        const double ms = std::chrono::duration<double, std::milli>(
                              steady_clock::now() - start_time)
                              .count();
        return {{"id", request.id},
                {"pipeline", request.traffic->pipeline},
                {"at_s", request.at_s},
                {"ms", ms},
                {"in_time", ms <= request.traffic->deadline_ms},
                {"sendings", outcomes}};
    }

private:
    json send(const json& body, std::size_t entry_index,
              steady_clock::duration timeout)
    {
        const runtime::address& entry_address =
            m_entries[entry_index % m_entries.size()];
        auto& cached_client = m_clients[entry_address.text()];
        if (!cached_client || !m_keep_alive)
            cached_client =
                std::make_unique<runtime::http_client>(entry_address);
        runtime::http_client& client = *cached_client;
        try
        {
            const auto response =
                client.post("/v1/requests", body.dump(), timeout);
            const json response_body =
                json::parse(response.body, nullptr, false);
            if (!response_body.is_object())
                return {{"outcome", "no_answer"}};
            const std::string id = body.at("request_id");
            const std::string answer =
                response_body.value("answer", json()).dump();
            const bool is_answered =
                response_body.value("outcome", "") == "answered";
            const auto response_time =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
            return {{"outcome", response_body.value("outcome", "")},
                    {"told_at_ms", response_time},
                    {"ran", response_body.value("ran", "")},
                    {"reason", response_body.value("reason", "")},
                    {"own", !is_answered ||
                                answer.find(id + "\"") != std::string::npos}};
        }
        catch (const runtime::http_error&)
        {
            return {{"outcome", "no_answer"}};
        }
    }

    /// Whether an entry issued a ticket, which is added to the body.
    bool fetch_ticket(json& body, std::size_t first_entry,
                      steady_clock::duration time_limit)
    {
        for (std::size_t attempt = 0; attempt < m_entries.size(); ++attempt)
        {
            try
            {
                runtime::http_client client(
                    m_entries[(first_entry + attempt) % m_entries.size()]);
                const auto response =
                    client.post("/v1/tickets", body.dump(), time_limit / 4);
                const json response_body =
                    json::parse(response.body, nullptr, false);
                if (response_body.is_object() &&
                    response_body.contains("ticket"))
                {
                    body["ticket"] = response_body["ticket"];
                    return true;
                }
            }
            catch (const runtime::http_error&)
            {
                continue;
            }
        }
        return false;
    }

    bool m_keep_alive;
    std::vector<runtime::address> m_entries;
    std::map<std::string, std::unique_ptr<runtime::http_client>> m_clients;
};

/// Sends each request at its arrival time from a pool of callers.
class load_generator
{
public:
    load_generator(std::vector<arrival> arrivals,
                   std::vector<std::string> entries, const std::string& file,
                   bool keep_alive)
        : m_arrivals(std::move(arrivals)), m_entries(std::move(entries)),
          m_keep_alive(keep_alive), m_out(file)
    {
    }

    void run(unsigned callers)
    {
        m_start_time = steady_clock::now();
        std::vector<std::thread> threads;
        for (unsigned index = 0; index < callers; ++index)
            threads.emplace_back([this] { run_caller(); });
        for (std::thread& thread : threads)
            thread.join();
    }

private:
    void run_caller()
    {
        caller sender(m_entries, m_keep_alive);
        while (true)
        {
            const std::size_t index = m_next++;
            if (index >= m_arrivals.size())
                return;
            const arrival& request = m_arrivals[index];
            // Latency counts from the scheduled time even if all callers were
            // busy then, as the load is open-loop.
            const auto send_time =
                m_start_time +
                std::chrono::duration_cast<steady_clock::duration>(
                    std::chrono::duration<double>(request.at_s));
            std::this_thread::sleep_until(send_time);
            const std::string line =
                sender.serve(request, index, send_time).dump();
            const std::lock_guard lock(m_mutex);
            m_out << line << '\n';
        }
    }

    std::vector<arrival> m_arrivals;
    std::vector<std::string> m_entries;
    bool m_keep_alive;
    std::ofstream m_out;
    std::mutex m_mutex;
    std::atomic<std::size_t> m_next{0};
    steady_clock::time_point m_start_time;
};

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ','))
        parts.push_back(part);
    return parts;
}

} // namespace

int main(int argc, char** argv)
{
    runtime::settings flags("load: sends requests to the entries");
    flags.descriptions().add_options()("entries", po::value<std::string>())(
        "mix", po::value<std::string>())("out", po::value<std::string>())(
        "seconds", po::value<double>()->default_value(5))(
        "seed", po::value<std::uint64_t>()->default_value(1))(
        "callers", po::value<unsigned>()->default_value(192))(
        "keep", po::value<bool>()->default_value(false));
    try
    {
        flags.read(argc, argv);
        const auto mix = read_mix(flags.required_string("mix"));
        load_generator generator(
            plan_arrivals(mix, flags.value<double>("seconds"),
                          flags.value<std::uint64_t>("seed")),
            split(flags.required_string("entries")),
            flags.required_string("out"), flags.value<bool>("keep"));
        generator.run(flags.value<unsigned>("callers"));
        return runtime::exit_ok;
    }
    catch (const std::exception& error)
    {
        std::cerr << "load: " << error.what() << '\n';
        return runtime::exit_bad_settings;
    }
}
