#include "decision/answers/end_check.hpp"

#include <doctest/doctest.h>

#include <array>
#include <utility>
#include <vector>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

/// What happens to the target of an answer.
enum class step : std::uint8_t
{
    bytes,     ///< More of the answer arrives.
    end,       ///< The target ends the answer, with its connection.
    idle_end,  ///< The target closes the witness, which is idle.
    surplus,   ///< The target resets the witness, one connection too many.
    kill,      ///< The target is killed; all its connections end in order.
    unlisted,  ///< The list says that the target is gone.
    same_back, ///< A new process has its address and its id.
    other_back ///< Another target has its address.
};

/// How an entry learns of the steps.
enum class timing : std::uint8_t
{
    witness_first, ///< At once, of the witness's end before the answer's.
    answer_first,
    late ///< All together, after the last step.
};

/// An answer, its target, and an entry that follows the end check.
class answer_world
{
public:
    answer_world(timing used_timing, duration step_time)
        : m_timing(used_timing), m_step_time(step_time)
    {
        m_check.note_witness_opened();
    }

    void apply(step value)
    {
        m_now += m_step_time;
        switch (value)
        {
        case step::bytes:
            if (m_is_alive && !m_is_finished)
                note_bytes();
            break;
        case step::end:
            m_is_finished = m_is_finished || m_is_alive;
            break;
        case step::idle_end:
        case step::surplus:
            if (m_is_alive)
                end_witness(value == step::idle_end);
            break;
        case step::kill:
            if (m_is_alive)
                kill();
            break;
        case step::unlisted:
            break;
        case step::same_back:
        case step::other_back:
            if (!m_is_alive)
                m_successor = value;
        }
        if (m_timing != timing::late)
            note_answer_end();
    }

    /// Returns how the entry judges the answer, which has ended.
    answer_end judge()
    {
        if (m_timing == timing::late)
        {
            if (m_ended_orderly)
                m_check.note_witness_ended(*m_ended_orderly, m_now);
            m_reading_since = m_now;
            note_answer_end();
        }
        if (!m_check.has_witness())
            return m_check.judge(sign_at_address());
        return m_check.judge(m_is_alive && m_is_witness_open
                                 ? life_sign::own_answer
                                 : life_sign::lost);
    }

    bool has_ended() const { return m_is_finished || !m_is_alive; }
    bool is_finished() const { return m_is_finished; }

    /// Whether the id alone tells the successor from the target.
    bool is_known_by_id_only() const
    {
        return m_successor == step::same_back && !m_had_witness_at_kill;
    }

private:
    life_sign sign_at_address() const
    {
        if (m_is_alive || m_successor == step::same_back)
            return life_sign::own_answer;
        return m_successor == step::other_back ? life_sign::other_answer
                                               : life_sign::refused;
    }

    void note_bytes()
    {
        if (m_timing == timing::late)
            return;
        m_check.note_read(m_reading_since, m_now);
        m_reading_since = m_now;
        if (m_check.has_witness() || m_check.may_target_have_ended())
            return;
        m_is_witness_open = true;
        m_check.note_witness_opened();
    }

    void end_witness(bool is_orderly)
    {
        if (!std::exchange(m_is_witness_open, false))
            return;
        m_ended_orderly = is_orderly;
        if (m_timing != timing::late)
            m_check.note_witness_ended(is_orderly, m_now);
    }

    void kill()
    {
        m_is_alive = false;
        m_had_witness_at_kill = m_is_witness_open;
        if (m_timing != timing::answer_first)
            end_witness(true);
        m_is_witness_open = false;
    }

    void note_answer_end()
    {
        if (has_ended() && !std::exchange(m_is_end_noted, true))
            m_check.note_read(m_reading_since, m_now);
    }

    timing m_timing;
    duration m_step_time;
    instant m_now{};
    instant m_reading_since{};
    end_check m_check;
    bool m_is_alive = true;
    bool m_is_finished = false; ///< The target has ended the answer.
    bool m_is_end_noted = false;
    bool m_is_witness_open = true;
    bool m_had_witness_at_kill = false;
    std::optional<bool> m_ended_orderly; ///< The last witness, if it has ended.
    step m_successor = step::kill;       ///< None, until one has started.
};

constexpr std::array all_steps{step::bytes,     step::end,       step::idle_end,
                               step::surplus,   step::kill,      step::unlisted,
                               step::same_back, step::other_back};
constexpr std::array all_timings{timing::witness_first, timing::answer_first,
                                 timing::late};

template<typename Check>
void for_each_order(std::size_t length, std::vector<step>& order, Check check)
{
    if (order.size() == length)
        return check(order);
    for (const step next : all_steps)
    {
        order.push_back(next);
        for_each_order(length, order, check);
        order.pop_back();
    }
}

} // namespace

// Guards against an answer of a killed target that counts as whole, in whatever
// order and how late the entry learns of what happened.
TEST_CASE("only the end of an answer whose target lives is believed")
{
    constexpr std::size_t steps = 5;
    std::size_t whole = 0;
    std::size_t broken = 0;
    for (const timing used : all_timings)
        for (const duration step_time : {duration(2ms), duration(150ms)})
        {
            std::vector<step> order;
            for_each_order(
                steps, order,
                [&](const std::vector<step>& applied)
                {
                    answer_world world(used, step_time);
                    for (const step next : applied)
                        world.apply(next);
                    if (!world.has_ended() || world.is_known_by_id_only())
                        return;
                    const bool is_whole = world.judge() == answer_end::whole;
                    whole += is_whole ? 1 : 0;
                    if (world.is_finished())
                        return;
                    ++broken;
                    CHECK_FALSE(is_whole);
                });
        }
    CHECK(whole > 0);
    CHECK(broken > 0);
}

// Guards against an answer that is given up though its target lives, also if
// the target closes idle connections or has no place for another one.
TEST_CASE("the end of an answer whose target lives on is believed")
{
    for (const timing used : {timing::witness_first, timing::answer_first})
        for (const std::vector<step>& order :
             {std::vector{step::end}, std::vector{step::bytes, step::end},
              std::vector{step::unlisted, step::bytes, step::end},
              std::vector{step::surplus, step::end},
              std::vector{step::surplus, step::bytes, step::surplus, step::end},
              std::vector{step::idle_end, step::end},
              std::vector{step::idle_end, step::bytes, step::end},
              std::vector{step::idle_end, step::bytes, step::idle_end,
                          step::bytes, step::bytes, step::end, step::unlisted}})
        {
            answer_world world(used, 150ms);
            for (const step next : order)
                world.apply(next);
            CHECK(world.judge() == answer_end::whole);
        }
    answer_world surplus(timing::witness_first, 2ms);
    for (const step next : {step::surplus, step::bytes, step::end})
        surplus.apply(next);
    CHECK(surplus.judge() == answer_end::whole);
}

TEST_CASE("only an answer of the target itself confirms the end of its answer")
{
    const end_check check;
    CHECK(check.judge(life_sign::own_answer) == answer_end::whole);
    CHECK(check.judge(life_sign::silent) == answer_end::unknown);
    for (const life_sign sign :
         {life_sign::other_answer, life_sign::refused, life_sign::lost})
        CHECK(check.judge(sign) == answer_end::broken_off);
}

// Guards against a restarted target that confirms the answer of the one before,
// whose end the entry reads late since the caller takes its events slowly.
TEST_CASE("an answer's end that is read late does not show that a target lives")
{
    end_check check;
    check.note_witness_opened();
    check.note_read(instant(0s), instant(1s));
    check.note_witness_ended(true, instant(1s) + 10ms);
    check.note_read(instant(3s), instant(3s) + 1ms);
    check.note_read(instant(4s), instant(4s) + 1ms);
    CHECK(check.judge(life_sign::own_answer) == answer_end::broken_off);
    check.note_read(instant(4s), instant(4s) + 50ms);
    CHECK(check.judge(life_sign::own_answer) == answer_end::whole);
}
