#pragma once

#include "decision/streams/copy_placement.hpp"
#include "decision/streams/stream_origin.hpp"
#include "decision/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mangofold::decision
{

/// The streams whose origin one entry knows: those that began there, and copies
/// of the records of other entries.
///
/// A record says where a stream began and never changes. So a copy may be
/// missing, but it is never wrong. Each entry that has a record sends it to the
/// other entries and to the record keepers that are to keep it, again whenever
/// those change; the record thus outlives the entry where the stream began, a
/// restart of all entries one after the other, and a loss of all entries.
class origin_records
{
public:
    /// On how many other entries an entry places a copy.
    static constexpr std::size_t copies = 3;

    /// The same beside copies at record keepers, which are lost for other
    /// reasons than entries are.
    static constexpr std::size_t copies_beside_keepers = 1;

    /// At how many record keepers an entry places a copy.
    static constexpr std::size_t keeper_copies = 2;

    struct record
    {
        stream_origin origin;
        instant began_at{};
        instant expires_at{};
        /// Two streams were recorded under one key: the caller used a request
        /// id twice. Neither can be continued.
        bool is_ambiguous = false;

        friend bool operator==(const record&, const record&) = default;
    };

    /// At most \a capacity streams are recorded: the ones that expire last.
    explicit origin_records(std::size_t capacity = 20'000)
        : m_capacity(capacity)
    {
    }

    /// Records a stream, or prolongs its record.
    void note(const stream_key& key, const record& known);

    /// Notes a record that was read from the record keeper at \a keeper by an
    /// entry that has run since \a owned_since. Returns whether its copies are
    /// to be placed now, and not only when holders change.
    bool adopt(const stream_key& key, const record& known,
               const std::string& keeper, instant owned_since);

    using keyed_record = std::pair<stream_key, record>;

    /// Returns up to \a max_count records that were added or changed after the
    /// change numbered \a last_change, and advances \a last_change past them.
    std::vector<keyed_record> changes_after(std::uint64_t& last_change,
                                            std::size_t max_count) const;

    /// Returns the record of a stream, or null.
    const record* find(const stream_key& key, instant now) const;

    /// Sets the other entries, which may keep copies. Returns whether they have
    /// changed.
    bool set_entries(std::vector<std::string> addresses);

    /// Sets the record keepers, and which of them have responded. Returns
    /// whether copies may have to be placed elsewhere.
    bool set_keepers(std::vector<std::string> addresses,
                     std::set<std::string> confirmed);

    /// Notes that the entry or record keeper at \a address was lost: it may
    /// come back without its copies.
    void note_lost(const std::string& address);

    /// Has the record of \a key sent to its holders once more.
    void resend(const stream_key& key);

    /// Returns the entries and record keepers that are to keep the record of
    /// \a key and were not sent it yet, and notes that they are.
    std::vector<std::string> take_new_holders(const stream_key& key);

    /// Returns the entries and record keepers that were sent the record of
    /// \a key, or had it.
    std::set<std::string> holders(const stream_key& key) const;

    /// Returns the entries and record keepers to ask for a record that is not
    /// known here: those that keep it by this entry's view, which may differ
    /// from another one's.
    std::vector<std::string> likely_holders(const stream_key& key) const;

    /// Returns the \a count record keepers that come first for \a key.
    std::vector<std::string> keepers_for(const stream_key& key,
                                         std::size_t count) const
    {
        return m_keeper_placement.holders(key, count);
    }

    /// Returns the number of record keepers that have responded.
    std::size_t keepers() const { return m_confirmed_keepers.size(); }

    std::vector<stream_key> keys() const;
    void expire(instant now);
    std::size_t size() const { return m_records.size(); }

private:
    struct stored_record
    {
        record known;
        std::set<std::string> sent_to;
        std::uint64_t change = 0; ///< Number of the last change.
    };

    using by_expiry = std::pair<instant, stream_key>;

    void note_change(const stream_key& key, stored_record& stored);
    void forget_first_to_expire();

    std::size_t m_capacity;
    copy_placement m_placement;
    copy_placement m_keeper_placement;
    std::set<std::string> m_confirmed_keepers;
    std::unordered_map<stream_key, stored_record, digest_hash> m_records;
    std::set<by_expiry> m_by_expiry;
    std::map<std::uint64_t, stream_key> m_by_change;
    std::uint64_t m_last_change = 0;
};

} // namespace mangofold::decision
