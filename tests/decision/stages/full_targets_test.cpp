#include "planner_support.hpp"

#include <doctest/doctest.h>

#include <functional>
#include <list>
#include <set>
#include <vector>

using namespace mangofold::decision;
using namespace std::chrono_literals;
using namespace mangofold::test;

namespace
{

/// Four targets with memory for thirty results each, \a lost of which results
/// of a lost entry take up. These expire within a lifetime, at even intervals.
/// Results of this entry are released a second after they were made.
struct full_targets
{
    struct result
    {
        instant ends{};
        target_incarnation target;
        std::string handle; ///< Empty for one of the lost entry.
    };
    struct call_in_progress
    {
        instant ends{};
        planned_call call;
        std::vector<bool> fits; ///< By piece.
    };

    explicit full_targets(int lost)
    {
        for (int target = 0; target < 4; ++target)
            for (int each = 0; each < lost; ++each)
                results.push_back({start + 4s * (each + 1) / lost,
                                   "t" + std::to_string(target),
                                   {}});
    }

    static std::string handle_of(const piece_ref& piece)
    {
        return std::to_string(piece.job) + "." + std::to_string(piece.piece);
    }

    void end_results(instant now)
    {
        for (const result& each : results)
            if (each.ends <= now && !each.handle.empty())
                planner.note_released(each.target, each.handle);
        std::erase_if(results,
                      [now](const result& each) { return each.ends <= now; });
    }

    // A result takes up memory from the start of its call.
    void start_call(const planned_call& call, instant now)
    {
        calls.push_back({now + call.expected_time, call, {}});
        call_in_progress& started = calls.back();
        for (const piece_ref& piece : call.pieces)
        {
            const bool fits = std::ranges::count_if(
                                  results, [&](const result& each)
                                  { return each.target == call.target; }) < 31;
            started.fits.push_back(fits);
            if (fits)
                results.push_back(
                    {started.ends + 1s, call.target, handle_of(piece)});
        }
    }

    void end_call(const call_in_progress& ended, instant now)
    {
        const planned_call& call = ended.call;
        const bool is_known = known_full.contains(call.target);
        planner.note_call_answered(call, call.expected_time, now);
        for (std::size_t index = 0; index < call.pieces.size(); ++index)
        {
            const piece_ref& piece = call.pieces[index];
            made += ended.fits[index] ? 1 : 0;
            refused += !ended.fits[index] && is_known ? 1 : 0;
            if (ended.fits[index])
                planner.note_piece_completed(piece, call.target,
                                             handle_of(piece), now);
            else
                planner.requeue_piece(piece);
        }
        if (!std::ranges::all_of(ended.fits, std::identity()))
        {
            planner.note_memory_full(call.target, now);
            known_full.insert(call.target);
        }
        planner.take_finished();
    }

    void run(duration length)
    {
        std::uint64_t jobs = 0;
        for (instant now = start; now < start + length; now += 10ms)
        {
            for (; planner.job_count() < 100; ++jobs)
            {
                stage_job job = make_job(jobs, 3, now - start + 3s);
                job.result_bytes = 1000;
                planner.add(job);
            }
            end_results(now);
            for (const call_in_progress& each : calls)
                if (each.ends <= now)
                    end_call(each, now);
            std::erase_if(calls, [now](const call_in_progress& each)
                          { return each.ends <= now; });
            while (auto call = planner.next_call(now))
                start_call(*call, now);
        }
    }

    call_planner planner = make_planner(4);
    std::list<result> results;
    std::list<call_in_progress> calls;
    int made = 0;
    int refused = 0; ///< Of targets that had refused pieces before.
    std::set<target_incarnation> known_full;
};

} // namespace

// Guards against calls that come back without results, since results of lost
// entries still take up the memory of their targets.
TEST_CASE("few pieces are sent to targets that are full of others' results")
{
    for (const int lost : {20, 25, 31})
    {
        full_targets targets(lost);
        targets.run(4s);
        CAPTURE(lost);
        CAPTURE(targets.made);
        CAPTURE(targets.refused);
        CHECK(targets.refused <= targets.made / 20);
    }
    full_targets empty(0);
    empty.run(4s);
    CHECK(empty.refused == 0);
}
