#include "serving/stream_registry.hpp"

#include "runtime/event.hpp"
#include "serving/records/record_adopter.hpp"
#include "serving/stream_messages.hpp"

#include <algorithm>
#include <array>
#include <iterator>

namespace mangofold::serving
{

namespace
{

constexpr duration maintenance_interval = std::chrono::milliseconds(100);

/// How long a caller that takes up a stream waits for the answers of other
/// entries: many round trips between zones, and little beside the pause that
/// the break has caused.
constexpr duration answer_timeout = std::chrono::milliseconds(100);

/// The same at an entry that does not know most of the others yet.
constexpr duration discovery_timeout = std::chrono::milliseconds(500);

/// How long after its time limit a stream is still recorded: clocks differ in
/// rate, and requests take a while to arrive.
constexpr duration lifetime_margin = std::chrono::seconds(1);

/// After how long a question is sent again to record keepers, which datagrams
/// may not have reached, and to more of them.
constexpr duration question_step = std::chrono::milliseconds(20);

/// Records per frame, some 10 KB: urgent frames wait behind one at most.
constexpr int origins_per_frame = 100;

/// How many record keepers know the versions that targets had.
constexpr std::size_t version_keepers = 3;

/// How often an entry tells them: less often in a large fleet, where each one
/// knows the same.
constexpr duration report_interval = std::chrono::seconds(1);
constexpr duration report_interval_per_entry = std::chrono::milliseconds(20);

/// How many of those that were asked for a record are named.
constexpr std::size_t max_named = 8;

/// How often an entry has the list of targets confirmed at most, since each
/// time is a read of the source, which all entries share.
constexpr duration confirmation_interval_min = std::chrono::milliseconds(100);
constexpr duration confirmation_interval_per_entry =
    std::chrono::milliseconds(5);

/// How long a caller waits for a confirmation that is due: many round trips to
/// the source.
constexpr duration confirmation_timeout = std::chrono::milliseconds(500);
constexpr duration confirmation_step = std::chrono::milliseconds(5);

/// The key by which they are chosen, the same for all entries.
constexpr decision::stream_key version_key{};

/// Most versions in a report, which must fit a datagram.
constexpr std::size_t max_reported_versions = 300;

/// How often an entry that has just started asks for these versions, and how
/// many times.
constexpr duration version_question_interval = std::chrono::milliseconds(200);
constexpr int max_version_questions = 10;

duration lifetime_for(duration time_limit)
{
    return std::min(time_limit + lifetime_margin, max_stream_lifetime);
}

peer::Frame stream_question_frame(std::uint64_t number,
                                  const decision::stream_key& key,
                                  const std::string& service,
                                  const stream_registry::caller_time& time)
{
    peer::Frame frame;
    peer::StreamQuestion& message = *frame.mutable_stream_question();
    message.set_number(number);
    message.set_key_high(key.high);
    message.set_key_low(key.low);
    message.set_service(service);
    message.set_limit_ns(time.limit.count());
    message.set_left_ns(time.left.count());
    return frame;
}

} // namespace

std::string_view to_string(stream_registry::source value)
{
    constexpr std::array<std::string_view, 5> names{"none", "own", "entry",
                                                    "keeper", "history"};
    return names.at(static_cast<std::size_t>(value));
}

stream_registry::stream_registry(entry_context& context,
                                 stream_channel& channel)
    : m_context(context), m_channel(channel),
      m_adopter(std::make_unique<record_adopter>(context, channel, m_records))
{
}

stream_registry::~stream_registry() = default;

// Nothing waits for the copies: if they are lost together with this entry, the
// stream is not continued, and never at another version.
std::set<std::string>
stream_registry::record(const decision::stream_key& key,
                        const decision::stream_origin& origin,
                        duration time_limit)
{
    const instant now = m_context.now();
    const duration lifetime = lifetime_for(time_limit);
    m_longest_lifetime = std::max(m_longest_lifetime, lifetime);
    m_records.note(key, {origin, now, now + lifetime, false});
    // Comparing thousands of addresses for each stream would take more time
    // than all else here.
    if (!m_holders_updated_at ||
        now >= *m_holders_updated_at + maintenance_interval)
        update_holders();
    m_records.resend(key);
    send_copies({key});
    m_context.versions.note_stream(origin, now);
    const auto seen = m_context.versions.observation();
    if (seen && m_version_reports.take_new(origin))
        report_versions(*seen);
    return m_records.holders(key);
}

void stream_registry::update_holders()
{
    m_holders_updated_at = m_context.now();
    m_channel.maintain();
    const bool have_entries_changed =
        m_records.set_entries(m_channel.stream_keepers());
    const bool have_keepers_changed = m_records.set_keepers(
        m_channel.record_keepers(), m_channel.confirmed_record_keepers());
    m_have_holders_changed =
        m_have_holders_changed || have_entries_changed || have_keepers_changed;
}

bool stream_registry::is_discovering() const
{
    return !m_channel.is_fleet_known() || !m_context.has_all_targets;
}

void stream_registry::send_copies(const std::vector<decision::stream_key>& keys)
{
    const instant now = m_context.now();
    std::map<std::string, peer::Frame> frames; // By receiver.
    for (const decision::stream_key& key : keys)
    {
        const auto* known = m_records.find(key, now);
        if (known == nullptr)
            continue;
        for (const std::string& holder : m_records.take_new_holders(key))
        {
            peer::StreamOrigins& message =
                *frames[holder].mutable_stream_origins();
            write_stream_origin(key, *known, now, *message.add_origins());
            const int most = m_channel.is_record_keeper(holder)
                                 ? origins_per_datagram
                                 : origins_per_frame;
            if (message.origins_size() < most)
                continue;
            m_channel.send(holder, frames[holder]);
            frames.erase(holder);
        }
    }
    for (const auto& [holder, frame] : frames)
        m_channel.send(holder, frame);
}

std::optional<stream_registry::finding>
stream_registry::find_own(const decision::stream_key& key) const
{
    const instant now = m_context.now();
    const auto* known = m_records.find(key, now);
    if (known == nullptr)
        return std::nullopt;
    if (known->is_ambiguous)
        return finding{};
    return finding{source::own, known->origin, now - known->began_at};
}

// Streams that began before this entry started may live as long as the longest
// of today.
duration stream_registry::longest_lifetime() const
{
    duration longest = m_longest_lifetime;
    if (m_context.catalog)
        for (const catalog::route& route : m_context.catalog->content().routes)
            if (route.is_stream)
                longest = std::max(longest, lifetime_for(route.timeout));
    return longest;
}

// The stream began after its caller's first request, and the time that the
// caller has left bounds how long ago that was.
duration stream_registry::longest_age(const caller_time& time) const
{
    const duration lifetime =
        std::max(lifetime_for(time.limit), longest_lifetime());
    return lifetime -
           std::clamp(time.left, duration::zero(), lifetime - lifetime_margin);
}

void stream_registry::note_versions() const
{
    m_context.versions.note_versions(m_context.directory.take_seen_versions(),
                                     m_context.now());
}

bool stream_registry::depends_on_list(const std::string& service,
                                      const caller_time& time,
                                      instant taken_up_at,
                                      const finding& answer) const
{
    const duration age = longest_age(time);
    const decision::version_history& versions = m_context.versions;
    const bool is_answered =
        answer.from == source::history &&
        !versions.has_other_version(answer.origin, age, taken_up_at);
    return is_answered ||
           versions.only_seen_version(service, age, taken_up_at).has_value();
}

stream_registry::finding
stream_registry::find_in_history(const std::string& service,
                                 const caller_time& time, instant taken_up_at,
                                 const finding& answer) const
{
    const duration age = longest_age(time);
    const decision::version_history& versions = m_context.versions;
    if (const auto version = versions.only_version(service, age, taken_up_at))
        return {source::history, {service, *version}};
    if (answer.from == source::history &&
        versions.confirms({answer.origin.version, answer.seen_until}, service,
                          age, taken_up_at))
        return answer;
    finding unknown;
    unknown.is_list_old = versions.up_to_date_at() < taken_up_at &&
                          depends_on_list(service, time, taken_up_at, answer);
    return unknown;
}

duration stream_registry::confirmation_interval() const
{
    return std::max(confirmation_interval_min,
                    confirmation_interval_per_entry *
                        static_cast<std::int64_t>(m_context.fleet_size()));
}

duration stream_registry::confirmation_delay() const
{
    const instant now = m_context.now();
    return std::max(
        confirmation_timeout,
        time_until(m_list_confirmed_at.value_or(now) + confirmation_interval(),
                   now));
}

awaitable<void> stream_registry::confirm_list(instant needed_at,
                                              duration timeout)
{
    const instant until = m_context.now() + timeout;
    loop_timer timer(m_context.loop);
    for (;;)
    {
        const instant now = m_context.now();
        if (m_context.versions.up_to_date_at() >= needed_at || now >= until)
            co_return;
        const bool is_due =
            !m_list_confirmed_at ||
            now >= *m_list_confirmed_at + confirmation_interval();
        const bool is_asked =
            m_list_confirmed_at && *m_list_confirmed_at >= needed_at;
        if (is_due && !is_asked)
        {
            m_list_confirmed_at = now;
            m_context.confirm_list();
        }
        error_code ignored; // The timer is never cancelled.
        timer.expires_after(std::min(confirmation_step, until - now));
        co_await timer.async_wait(store_error_in(ignored));
    }
}

awaitable<stream_registry::finding>
stream_registry::find(decision::stream_key key, std::string service,
                      caller_time time)
{
    if (const auto own = find_own(key))
        co_return *own;
    const instant taken_up_at = m_context.now();
    const finding answer = co_await ask(key, service, time);
    // A copy may have arrived meanwhile.
    if (const auto own = find_own(key))
        co_return *own;
    if (answer.from == source::entry || answer.from == source::keeper)
        co_return answer;
    note_versions();
    if (!service.empty() && depends_on_list(service, time, taken_up_at, answer))
    {
        const duration wait = confirmation_interval() + confirmation_timeout;
        const bool is_left_known = time.left > duration::zero();
        co_await confirm_list(taken_up_at,
                              is_left_known ? std::min(wait, time.left) : wait);
        note_versions();
    }
    if (const auto own = find_own(key))
        co_return *own;
    finding found = find_in_history(service, time, taken_up_at, answer);
    if (found.from == source::none)
    {
        found.asked = answer.asked;
        found.silent = answer.silent;
    }
    co_return found;
}

void stream_registry::send_question(const decision::stream_key& key,
                                    const peer::Frame& frame, std::size_t round,
                                    question& asked)
{
    std::vector<std::string> holders = m_records.likely_holders(key);
    if (round > 0)
    {
        const auto more = m_records.keepers_for(
            key, decision::origin_records::keeper_copies + 2 + 2 * round);
        holders.insert(holders.end(), more.begin(), more.end());
    }
    for (const std::string& holder : holders)
    {
        const bool is_new = asked.sent_to.insert(holder).second;
        if (is_new)
            asked.unanswered.insert(holder);
        if (is_new && asked.asked.size() < max_named)
            asked.asked.push_back(holder);
        const bool may_be_lost = asked.unanswered.contains(holder) &&
                                 m_channel.is_record_keeper(holder);
        if (is_new || may_be_lost)
            m_channel.send(holder, frame);
    }
}

awaitable<stream_registry::finding>
stream_registry::ask(decision::stream_key key, std::string service,
                     caller_time time)
{
    const std::uint64_t number = ++m_last_question;
    const auto asked = std::make_shared<question>(m_context.loop);
    m_questions[number] = asked;
    const peer::Frame frame = stream_question_frame(number, key, service, time);
    instant sent_at = m_context.now();
    bool are_holders_known = !is_discovering();
    instant until =
        sent_at + (are_holders_known ? answer_timeout : discovery_timeout);
    std::size_t round = 0;
    update_holders();
    send_question(key, frame, round, *asked);
    for (;;)
    {
        const instant now = m_context.now();
        if (!are_holders_known && !is_discovering())
        {
            // Those that became known last need time to answer, too.
            are_holders_known = true;
            until = now + answer_timeout;
            sent_at = now;
            update_holders();
            send_question(key, frame, ++round, *asked);
        }
        const duration left = until - now;
        const bool is_found =
            asked->is_ambiguous ||
            (asked->answer && asked->answer->from != source::history);
        const bool are_all_asked =
            are_holders_known && asked->unanswered.empty();
        if (is_found || are_all_asked || left <= duration::zero())
            break;
        if (now >= sent_at + question_step)
        {
            sent_at = now;
            if (now >= *m_holders_updated_at + question_step)
                update_holders();
            send_question(key, frame, ++round, *asked);
        }
        const duration step =
            std::min(left, time_until(sent_at + question_step, now));
        co_await asked->is_changed.wait(step);
    }
    m_questions.erase(number);
    finding answer = asked->answer.value_or(finding{});
    const bool is_doubtful =
        asked->is_ambiguous ||
        (answer.from == source::history && asked->is_history_doubtful);
    if (is_doubtful)
        answer = finding{};
    if (answer.from == source::none)
    {
        answer.asked = asked->asked;
        std::ranges::copy_if(answer.asked, std::back_inserter(answer.silent),
                             [&asked](const std::string& holder)
                             { return asked->unanswered.contains(holder); });
    }
    co_return answer;
}

void stream_registry::handle_origins(const peer::StreamOrigins& message)
{
    note_stream_origins(message, m_context.now(), m_records,
                        m_context.versions);
}

void stream_registry::handle_records(const std::string& address,
                                     const peer::StreamOrigins& message)
{
    m_adopter->handle(address, message);
}

peer::Frame
stream_registry::handle_question(const peer::StreamQuestion& message)
{
    const instant now = m_context.now();
    const decision::stream_key key{message.key_high(), message.key_low()};
    peer::Frame frame;
    peer::StreamAnswer& answer = *frame.mutable_stream_answer();
    if (answer_from_records(message, m_records, now, answer))
        return frame;
    const auto bounded = [](std::int64_t ns)
    { return std::clamp(duration(ns), duration::zero(), max_stream_lifetime); };
    const caller_time time{bounded(message.limit_ns()),
                           bounded(message.left_ns())};
    if (message.service().empty() || !m_context.directory.is_source_available())
        return frame;
    note_versions();
    const decision::version_history& versions = m_context.versions;
    if (const auto version = versions.only_seen_version(message.service(),
                                                        longest_age(time), now))
    {
        answer.set_source(peer::StreamAnswer::HISTORY);
        write_stream_origin(key,
                            {{message.service(), *version},
                             versions.up_to_date_at(),
                             now,
                             false},
                            now, *answer.mutable_origin());
    }
    return frame;
}

void stream_registry::handle_answer(const std::string& address,
                                    const peer::StreamAnswer& message)
{
    const auto found = m_questions.find(message.number());
    if (found == m_questions.end())
        return;
    question& asked = *found->second;
    if (asked.unanswered.erase(address) == 0)
        return;
    asked.is_changed.set();
    const instant now = m_context.now();
    const auto known = read_stream_origin(message.origin(), now);
    if (!known)
        return;
    const bool is_record = message.source() == peer::StreamAnswer::RECORD;
    const bool has_record =
        asked.answer && asked.answer->from != source::history;
    const bool is_other_origin =
        asked.answer && asked.answer->origin != known->origin;
    if (known->is_ambiguous || (is_record && has_record && is_other_origin))
        asked.is_ambiguous = true;
    else if (!is_record && !has_record && is_other_origin)
        asked.is_history_doubtful = true;
    else if (is_record)
        asked.answer = {m_channel.is_record_keeper(address) ? source::keeper
                                                            : source::entry,
                        known->origin, now - known->began_at};
    else if (message.source() == peer::StreamAnswer::HISTORY)
        note_history_answer(*known, asked);
}

// Of several entries that saw the same version, the one counts that has seen
// the list last.
void stream_registry::note_history_answer(
    const decision::origin_records::record& known, question& asked)
{
    if (asked.answer && asked.answer->from != source::history)
        return;
    const instant seen_until =
        asked.answer ? std::max(asked.answer->seen_until, known.began_at)
                     : known.began_at;
    asked.answer = {source::history, known.origin, duration::zero(),
                    seen_until};
}

void stream_registry::note_lost(const std::string& address)
{
    m_records.note_lost(address);
    m_have_holders_changed = true;
    for (const auto& [number, asked] : m_questions)
        if (asked->unanswered.erase(address) > 0)
            asked->is_changed.set();
}

void stream_registry::handle_observation(
    const std::string& address, const peer::VersionObservation& message)
{
    const instant now = m_context.now();
    const auto seen = read_version_observation(message, now);
    if (!seen || seen->last_seen.empty())
        return;
    // What this entry sees itself comes first, or a version that is new would
    // be missing from the longer span.
    note_versions();
    const auto unread = m_context.versions.unread_after();
    const bool is_enough = m_version_answers.note(
        address, *seen, m_channel.listed_record_keepers(), m_context.versions);
    if (m_context.versions.unread_after() != unread)
        m_context.confirm_list();
    if (!is_enough)
        return;
    m_version_questions = max_version_questions;
    const auto all = m_context.versions.observation();
    runtime::event("versions_learned")
        .with("since_ms", whole_milliseconds(now - (all ? all->since : now)))
        .with("until_ms", whole_milliseconds(now - seen->until))
        .with("versions", all ? all->last_seen.size() : 0)
        .info();
}

std::set<std::string> stream_registry::streaming_services() const
{
    std::set<std::string> services;
    if (m_context.catalog)
        for (const catalog::route& route : m_context.catalog->content().routes)
            if (route.is_stream)
                for (const catalog::weighted_service& choice : route.services)
                    services.insert(choice.service);
    return services;
}

void stream_registry::report_versions(decision::version_observation seen)
{
    const std::set<std::string> services = streaming_services();
    std::erase_if(seen.last_seen, [&services](const auto& known)
                  { return !services.contains(known.first.service); });
    if (seen.last_seen.size() > max_reported_versions)
        return;
    peer::Frame frame;
    write_version_observation(seen, m_context.now(),
                              *frame.mutable_version_observation());
    for (const std::string& keeper :
         m_records.keepers_for(version_key, version_keepers))
        m_channel.send(keeper, frame);
}

void stream_registry::ask_for_versions()
{
    const instant now = m_context.now();
    if (m_versions_asked_at &&
        now < *m_versions_asked_at + version_question_interval)
        return;
    m_versions_asked_at = now;
    // What failed to be read is read again.
    if (m_context.versions.unread_after())
        m_context.confirm_list();
    peer::Frame frame;
    frame.mutable_version_question();
    const std::size_t receivers =
        version_keepers + 2 * static_cast<std::size_t>(m_version_questions++);
    for (const std::string& keeper :
         m_records.keepers_for(version_key, receivers))
        m_channel.send(keeper, frame);
}

// Record keepers outlive entries: entries that all start again learn from them
// which versions have served before. A version that is new is reported at once,
// or the keepers would not know it if all entries were lost.
void stream_registry::exchange_versions()
{
    if (!m_context.has_all_targets ||
        !m_context.directory.is_source_available())
        return;
    note_versions();
    const auto seen = m_context.versions.observation();
    if (!seen)
        return;
    // After a gap in the list, the keepers may know what was missed.
    if (seen->since > std::exchange(m_observed_since, seen->since))
    {
        m_version_questions = 0;
        m_version_answers.clear();
    }
    if (m_version_questions < max_version_questions)
        return ask_for_versions();
    const duration interval = std::max(
        report_interval, report_interval_per_entry *
                             static_cast<std::int64_t>(m_context.fleet_size()));
    if (m_version_reports.take_due(*seen, interval, m_context.now()))
        report_versions(*seen);
}

// The copies of adopted records are placed step by step, since there may be
// many after the loss of all entries.
std::vector<decision::stream_key> stream_registry::placed_keys() const
{
    std::vector<decision::stream_key> keys = m_records.keys();
    std::erase_if(keys, [this](const decision::stream_key& key)
                  { return m_adopter->is_unplaced(key); });
    return keys;
}

void stream_registry::maintain()
{
    m_records.expire(m_context.now());
    update_holders();
    exchange_versions();
    m_adopter->maintain();
    send_copies(m_adopter->take_unplaced());
    if (std::exchange(m_have_holders_changed, false))
        send_copies(placed_keys());
    m_context.metrics.set_gauge({"record_keepers_responding", {}},
                                static_cast<double>(m_records.keepers()));
    m_context.metrics.set_gauge({"stream_origins_known", {}},
                                static_cast<double>(m_records.size()));
}

awaitable<void> stream_registry::run()
{
    loop_timer timer(m_context.loop);
    for (;;)
    {
        error_code ignored; // The timer is never cancelled.
        timer.expires_after(maintenance_interval);
        co_await timer.async_wait(store_error_in(ignored));
        maintain();
    }
}

} // namespace mangofold::serving
