#include "decision/answers/end_check.hpp"

#include <doctest/doctest.h>

#include <array>
#include <utility>
#include <vector>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

/// What happens to the target of an answer and reaches the entry.
enum class step : std::uint8_t
{
    bytes,     ///< More of the answer arrives.
    end,       ///< The answer's connection ends in order.
    idle_end,  ///< The target closes the idle witness, with a notice.
    kill,      ///< The target is killed; its connections end.
    unlisted,  ///< The list says that the target is gone.
    same_back, ///< A new process has its address and its id.
    other_back ///< Another target has its address.
};

/// An answer, its target and an entry that follows the end check. Connections
/// end when the target does; the entry may run so late that it sees all that
/// has happened meanwhile at once.
class answer_world
{
public:
    explicit answer_world(duration lag) : m_lag(lag) { open_witness(); }

    void apply(step value)
    {
        m_now += 150ms;
        switch (value)
        {
        case step::bytes:
            m_has_unread = m_has_unread || m_is_alive;
            break;
        case step::end:
            m_is_finished = m_is_finished || m_is_alive;
            break;
        case step::idle_end:
            m_has_notice = m_has_notice || m_is_witness_open;
            m_is_witness_open = false;
            break;
        case step::kill:
            m_is_alive = m_is_witness_open = false;
            break;
        case step::unlisted:
            break;
        case step::same_back:
        case step::other_back:
            if (!m_is_alive)
                m_successor = value;
        }
        if (m_lag == 0ms)
            run_entry();
    }

    /// Returns how the entry judges the answer once it has ended.
    answer_end judge()
    {
        run_entry();
        m_check.note_end(m_is_witness_open, m_now);
        if (!m_check.needs_question())
            return m_check.judge(life_sign::silent);
        if (m_check.asks_witness())
            return m_check.judge(m_has_notice ||
                                         (m_is_alive && m_is_witness_open)
                                     ? life_sign::own_answer
                                     : life_sign::lost);
        return m_check.judge(sign_at_address());
    }

    bool has_ended() const { return m_is_finished || !m_is_alive; }
    bool is_alive() const { return m_is_alive; }
    bool is_finished() const { return m_is_finished; }

private:
    life_sign sign_at_address() const
    {
        if (m_is_alive || m_successor == step::same_back)
            return life_sign::own_answer;
        return m_successor == step::other_back ? life_sign::other_answer
                                               : life_sign::refused;
    }

    void open_witness()
    {
        m_is_witness_open = m_is_alive || m_successor != step::kill;
        m_has_notice = false;
        if (m_is_witness_open)
            m_check.note_witness_opened();
    }

    /// The entry looks at the witness when bytes of the answer arrive.
    void run_entry()
    {
        if (!std::exchange(m_has_unread, false))
            return;
        if (!m_check.needs_witness() && !m_is_witness_open)
            m_check.note_witness_lost(m_now);
        if (m_check.needs_witness())
            open_witness();
    }

    duration m_lag;
    instant m_now{};
    end_check m_check;
    bool m_is_alive = true;
    bool m_is_finished = false; ///< The target has ended the answer.
    bool m_has_unread = false;
    bool m_is_witness_open = false;
    bool m_has_notice = false;     ///< Unread on the witness.
    step m_successor = step::kill; ///< None, until one has started.
};

constexpr std::array all_steps{step::bytes,     step::end,      step::idle_end,
                               step::kill,      step::unlisted, step::same_back,
                               step::other_back};

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
// order the entry learns of what happened.
TEST_CASE("only the end of an answer whose target lives is believed")
{
    constexpr std::size_t steps = 5;
    std::size_t whole = 0;
    for (const duration lag : {duration(0ms), duration(2s)})
    {
        std::vector<step> order;
        for_each_order(steps, order,
                       [&](const std::vector<step>& applied)
                       {
                           answer_world world(lag);
                           for (const step next : applied)
                               if (!world.has_ended() || next != step::bytes)
                                   world.apply(next);
                           if (!world.has_ended())
                               return;
                           const answer_end judged = world.judge();
                           whole += judged == answer_end::whole ? 1 : 0;
                           if (!world.is_finished())
                               CHECK(judged != answer_end::whole);
                       });
    }
    CHECK(whole > 0);
}

// Guards against an answer that is given up though its target lives, also if
// the target has closed idle connections before.
TEST_CASE("the end of an answer whose target lives on is believed")
{
    for (const std::vector<step>& order :
         {std::vector{step::end}, std::vector{step::bytes, step::end},
          std::vector{step::unlisted, step::bytes, step::end},
          std::vector{step::idle_end, step::bytes, step::end},
          std::vector{step::idle_end, step::bytes, step::idle_end, step::bytes,
                      step::bytes, step::end, step::unlisted}})
    {
        answer_world world(0ms);
        for (const step next : order)
            world.apply(next);
        CHECK(world.judge() == answer_end::whole);
    }
}

TEST_CASE("a target that can't be asked confirms nothing")
{
    end_check check;
    check.note_end(false, {});
    REQUIRE(check.needs_question());
    CHECK_FALSE(check.asks_witness());
    CHECK(check.judge(life_sign::own_answer) == answer_end::whole);
    CHECK(check.judge(life_sign::silent) == answer_end::unknown);
    for (const life_sign sign :
         {life_sign::other_answer, life_sign::refused, life_sign::lost})
        CHECK(check.judge(sign) == answer_end::broken_off);
}

// Guards against a restarted target that confirms the answer of the one before:
// what that one had sent is read after its connections have ended.
TEST_CASE("bytes that are read late do not show that a target lives")
{
    end_check check;
    check.note_witness_opened();
    check.note_witness_lost(instant(1s));
    check.note_witness_opened();
    end_check late = check;
    check.note_end(true, instant(1s) + 20ms);
    CHECK(check.judge(life_sign::own_answer) == answer_end::broken_off);
    late.note_end(true, instant(1s) + 200ms);
    CHECK(late.judge(life_sign::own_answer) == answer_end::whole);
}
