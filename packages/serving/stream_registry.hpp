#pragma once

#include "decision/streams/origin_records.hpp"
#include "decision/streams/version_answers.hpp"
#include "decision/streams/version_reports.hpp"
#include "peer.pb.h"
#include "serving/auto_reset_event.hpp"
#include "serving/entry_context.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mangofold::serving
{

/// For how long a stream is recorded at most, whatever time its caller states.
constexpr duration max_stream_lifetime = std::chrono::minutes(10);

/// How an entry reaches the processes that keep records of streams: other
/// entries, and the record keepers beside the targets.
class stream_channel
{
public:
    virtual ~stream_channel() = default;

    /// Returns the addresses of the other entries that keep records and are not
    /// stopping.
    virtual std::vector<std::string> stream_keepers() const = 0;

    /// Returns the addresses where record keepers may run.
    virtual std::vector<std::string> record_keepers() const { return {}; }

    /// Returns the number of hosts where one may run, silent ones included.
    virtual std::size_t listed_record_keepers() const
    {
        return record_keepers().size();
    }

    /// Returns those of them that have responded.
    virtual std::set<std::string> confirmed_record_keepers() const
    {
        return {};
    }
    virtual bool is_record_keeper(const std::string&) const { return false; }

    /// Returns the record keepers to which the one at the given address is to
    /// hand on its records when it stops.
    virtual std::vector<std::string> successors_of(const std::string&) const
    {
        return {};
    }

    /// Notes which record keepers there are and which respond.
    virtual void maintain() {}

    /// Whether this entry knows most of the others.
    virtual bool is_fleet_known() const = 0;

    /// Sends \a frame to the entry at \a address if it is connected, or to the
    /// record keeper there.
    virtual void send(const std::string& address, const peer::Frame& frame) = 0;
};

class record_adopter;

/// Records at which software version each stream began, at this entry and at
/// some others, and finds out where a stream began that a caller takes up.
class stream_registry
{
public:
    stream_registry(entry_context& context, stream_channel& channel);
    stream_registry(const stream_registry&) = delete;
    stream_registry& operator=(const stream_registry&) = delete;
    ~stream_registry();

    /// Where the knowledge of a stream's origin came from.
    enum class source : std::uint8_t
    {
        none,   ///< The origin is not known.
        own,    ///< A record of this entry.
        entry,  ///< Another entry.
        keeper, ///< A record keeper.
        history ///< The service has had targets of one version only.
    };

    struct finding
    {
        source from = source::none;
        decision::stream_origin origin{};
        duration age{}; ///< Of the record.
        /// Up to when the entry that answered has seen one version only.
        instant seen_until{};
        /// The list of targets could not be confirmed in time: the origin may
        /// be known later.
        bool is_list_old = false;
        /// If the origin is not known: the entries and record keepers that were
        /// asked first, and those among them that did not answer.
        std::vector<std::string> asked{};
        std::vector<std::string> silent{};

        friend bool operator==(const finding&, const finding&) = default;
    };

    /// Records that the stream \a key has events of a target of \a origin. Its
    /// caller waits for \a time_limit at most. Returns who was sent the record.
    std::set<std::string> record(const decision::stream_key& key,
                                 const decision::stream_origin& origin,
                                 duration time_limit);

    /// How long the caller of a stream waits.
    struct caller_time
    {
        duration limit{}; ///< In all, from its first request on.
        duration left{};  ///< Of that; zero if it is not known.

        friend bool operator==(const caller_time&,
                               const caller_time&) = default;
    };

    /// Finds the origin of the stream \a key. If no entry has recorded it, it
    /// is the version of \a service, provided that this has had a single one
    /// since the stream can have begun. Asks other entries if need be: for a
    /// tenth of a second at most, after half a second at most in which an entry
    /// that has just started gets to know them; and has the list of targets
    /// confirmed where it decides.
    awaitable<finding> find(decision::stream_key key, std::string service,
                            caller_time time);

    /// Whether this entry has not seen yet who keeps records.
    bool is_discovering() const;

    /// Returns after what time a caller whose stream was not known, as the list
    /// was old, had better return.
    duration confirmation_delay() const;

    /// Keeps the records that another entry has sent.
    void handle_origins(const peer::StreamOrigins& message);

    /// Adopts the records that the record keeper at \a address has sent.
    void handle_records(const std::string& address,
                        const peer::StreamOrigins& message);
    peer::Frame handle_question(const peer::StreamQuestion& message);
    /// Handles an answer of the entry or record keeper at \a address.
    void handle_answer(const std::string& address,
                       const peer::StreamAnswer& message);

    /// Handles what a record keeper has seen of the targets' versions.
    void handle_observation(const std::string& address,
                            const peer::VersionObservation& message);

    /// Notes that the entry or record keeper at \a address no longer answers,
    /// or has started again.
    void note_lost(const std::string& address);

    /// Sends records to the entries that are to keep them now, and forgets old
    /// ones; called several times a second.
    void maintain();

    /// Calls maintain() periodically. Never returns.
    awaitable<void> run();

private:
    struct question
    {
        explicit question(asio::io_context& loop) : is_changed(loop) {}

        std::set<std::string> sent_to;    ///< Entries and record keepers.
        std::vector<std::string> asked;   ///< The first of these.
        std::set<std::string> unanswered; ///< Of these.
        std::optional<finding> answer;
        bool is_ambiguous = false; ///< The caller used a request id twice.
        bool is_history_doubtful = false; ///< Entries saw different versions.
        auto_reset_event is_changed;
    };

    /// Asks the entries that are likely to keep the record.
    awaitable<finding> ask(decision::stream_key key, std::string service,
                           caller_time time);
    /// Sends \a frame to the processes that may keep the record of \a key; in
    /// later rounds to more record keepers, and again to those that have not
    /// answered.
    void send_question(const decision::stream_key& key,
                       const peer::Frame& frame, std::size_t round,
                       question& asked);
    static void
    note_history_answer(const decision::origin_records::record& known,
                        question& asked);
    /// Notes the versions that targets have now.
    void note_versions() const;
    std::optional<finding> find_own(const decision::stream_key& key) const;
    /// Finds the origin of a stream that was taken up at \a taken_up_at by
    /// what this entry has seen, and the one that sent \a answer.
    finding find_in_history(const std::string& service, const caller_time& time,
                            instant taken_up_at, const finding& answer) const;
    /// Whether the list would make the origin certain if it were up to date.
    bool depends_on_list(const std::string& service, const caller_time& time,
                         instant taken_up_at, const finding& answer) const;
    /// Waits until the list is known to have been up to date at \a needed_at or
    /// later, or \a timeout has passed.
    awaitable<void> confirm_list(instant needed_at, duration timeout);
    duration confirmation_interval() const;
    /// Returns how long ago the stream can have begun.
    duration longest_age(const caller_time& time) const;
    duration longest_lifetime() const;
    std::set<std::string> streaming_services() const;
    /// Notes which other entries and record keepers may keep copies now.
    void update_holders();
    /// Tells record keepers of the versions that targets have, and asks them
    /// for those before this entry started.
    void exchange_versions();
    void ask_for_versions();
    void report_versions(decision::version_observation seen);
    /// Sends the records of \a keys to the holders that are to keep them and
    /// were not sent them yet.
    void send_copies(const std::vector<decision::stream_key>& keys);
    /// Returns the keys of the records whose copies are or were placed.
    std::vector<decision::stream_key> placed_keys() const;

    entry_context& m_context;
    stream_channel& m_channel;
    decision::origin_records m_records;
    std::unique_ptr<record_adopter> m_adopter;
    std::map<std::uint64_t, std::shared_ptr<question>> m_questions;
    std::uint64_t m_last_question = 0;
    /// Of the streams recorded here; others may have begun that live as long.
    duration m_longest_lifetime{};
    std::optional<instant> m_holders_updated_at;
    bool m_have_holders_changed = false; ///< Since the last maintenance.
    std::optional<instant> m_versions_asked_at;
    std::optional<instant> m_list_confirmed_at; ///< Last asked for.
    int m_version_questions = 0; ///< Since the list was last read anew.
    instant m_observed_since{};  ///< See decision::version_observation.
    decision::version_answers m_version_answers;
    decision::version_reports m_version_reports;
};

std::string_view to_string(stream_registry::source value);

} // namespace mangofold::serving
