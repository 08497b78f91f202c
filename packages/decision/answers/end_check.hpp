#pragma once

#include "decision/time.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace mangofold::decision
{

/// What became of the question whether a target lives.
enum class life_sign : std::uint8_t
{
    own_answer,   ///< The target answered.
    other_answer, ///< Another target answered at its address.
    refused,      ///< Nothing listens at its address.
    lost,         ///< The connection ended without an answer.
    silent        ///< No answer came in time.
};

/// How an answer ended that has neither a length nor chunks.
enum class answer_end : std::uint8_t
{
    whole,      ///< Its target ended it.
    broken_off, ///< Its target has ended.
    unknown
};

std::string_view to_string(answer_end value);

/// Judges the orderly end of the connection of an answer that ends with it: the
/// target may have closed the connection, or may have been killed. The witness
/// is a second connection to the target, opened while the answer arrives.
class end_check
{
public:
    /// Whether a witness is to be opened: there is none, or the target has
    /// closed an idle one and goes on with the answer.
    bool needs_witness() const { return m_witness == witness::none; }

    void note_witness_opened() { m_witness = witness::open; }

    /// Notes that the target has closed the witness while the answer goes on.
    void note_witness_lost(instant now)
    {
        m_witness = witness::none;
        m_lost_at = now;
    }

    /// Notes the orderly end of the answer, at which the witness was open if
    /// \a is_witness_open.
    void note_end(bool is_witness_open, instant now);

    /// Whether to ask the target on the witness. Else it is asked on a new
    /// connection, if at all.
    bool asks_witness() const { return m_witness == witness::open; }

    /// Whether an answer of the target would tell how the answer ended.
    bool needs_question() const { return m_witness != witness::closed; }

    /// Returns how the answer ended, where the question that was sent after its
    /// end has brought \a sign.
    answer_end judge(life_sign sign) const;

private:
    enum class witness : std::uint8_t
    {
        none,
        open,
        closed ///< Together with the answer.
    };

    witness m_witness = witness::none;
    std::optional<instant> m_lost_at; ///< When the last witness was lost.
};

} // namespace mangofold::decision
