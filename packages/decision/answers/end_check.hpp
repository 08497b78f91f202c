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
    refused,      ///< No connection to its address could be opened.
    lost,         ///< The connection ended without an answer.
    silent        ///< No answer came in time.
};

/// How an answer ended that has neither a length nor chunks.
enum class answer_end : std::uint8_t
{
    whole,      ///< Its target ended it.
    broken_off, ///< Its target has probably ended.
    unknown
};

std::string_view to_string(answer_end value);

/// Judges the orderly end of the connection of an answer that ends with it: the
/// target may have closed the connection, or may have been killed. The witness
/// is a second connection to the target, opened while the answer arrives.
class end_check
{
public:
    void note_witness_opened() { m_is_witness_open = true; }

    /// Notes that the witness has ended, in order if \a is_orderly.
    void note_witness_ended(bool is_orderly, instant now);

    /// Notes that the entry waited from \a began to \a ended until the answer
    /// went on, or ended.
    void note_read(instant began, instant ended);

    /// Whether the witness is open.
    bool has_witness() const { return m_is_witness_open; }

    /// Whether the witness has ended, and the target may have ended with it.
    bool may_target_have_ended() const
    {
        return m_witness_ended_at.has_value();
    }

    /// Returns how the answer has ended. The question was sent after its end,
    /// on the witness if that was open, else on a new connection.
    answer_end judge(life_sign sign) const;

private:
    bool m_is_witness_open = false;
    /// Set until the target is known to have outlived the witness.
    std::optional<instant> m_witness_ended_at;
};

} // namespace mangofold::decision
