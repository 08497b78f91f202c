#include "world.hpp"

#include <cstdio>
#include <cstdlib>
#include <string_view>

using namespace mangofold::test;

namespace
{

struct result
{
    std::map<int, outcome_counts> seconds;
    int cut_although_late = 0;
    std::vector<mangofold::decision::duration> stop_times;
};

int seeds_for(int entries)
{
    return entries <= 6 ? 40 : entries <= 24 ? 10 : 1;
}

double rate_for(int entries)
{
    return entries <= 24 ? entries * 10.0 : entries * 1.0;
}

/// Whether engines need four times as long from the first stop on.
bool are_engines_slow = false;

template<admission_policy Admission, return_policy Return>
result play(const roll& plan, Admission admission, Return returns)
{
    result sum;
    const auto roll_time = plan.stopped * plan.gap + 10s;
    for (int seed = 1; seed <= seeds_for(plan.entries); ++seed)
    {
        traffic load = random_traffic(static_cast<unsigned>(seed), usual_routes,
                                      plan.entries, rate_for(plan.entries),
                                      300ms, 6s + roll_time);
        if (are_engines_slow)
            load.slow_from = first_stop;
        stops_world world(plan, load, admission, returns);
        world.run();
        for (const auto& [second, counts] : world.outcomes)
            sum.seconds[second].add(counts);
        sum.cut_although_late += world.cut_although_late;
        sum.stop_times.insert(sum.stop_times.end(), world.stop_times.begin(),
                              world.stop_times.end());
    }
    return sum;
}

void print_row(const roll& plan, const char* name, const result& sum)
{
    outcome_counts total;
    double worst = 1;
    for (const auto& [second, counts] : sum.seconds)
    {
        total.add(counts);
        worst = std::min(worst, counts.share(outcome::in_time));
    }
    mangofold::decision::duration stops{};
    for (const auto& time : sum.stop_times)
        stops += time;
    const double mean_stop = std::chrono::duration<double>(stops).count() /
                             static_cast<double>(sum.stop_times.size());
    std::printf("| %d | %d | %.2f | %s | %.3f | %.3f | %.3f | %.3f | %.4f | "
                "%d | %.1f |\n",
                plan.entries, plan.stopped,
                std::chrono::duration<double>(plan.gap).count(), name, worst,
                total.share(outcome::in_time), total.share(outcome::late),
                total.share(outcome::refused), total.share(outcome::cut),
                sum.cut_although_late, mean_stop);
}

void print_seconds(const char* name, const result& sum)
{
    for (const auto& [second, counts] : sum.seconds)
        std::printf("| %s | %d | %.3f | %.3f | %.3f | %.3f |\n", name, second,
                    counts.share(outcome::in_time), counts.share(outcome::late),
                    counts.share(outcome::refused), counts.share(outcome::cut));
}

void compare_admissions(const roll& plan)
{
    print_row(plan, "estimate", play(plan, estimate_policy(), until_own_end()));
    print_row(plan, "deadline", play(plan, deadline_policy(), until_own_end()));
    print_row(plan, "deadline, any until 2.9 s",
              play(plan, excused_policy(), until_own_end()));
    print_row(plan, "deadline, half back",
              play(plan, deadline_policy(), until_share_is_back{0.5, 8500ms}));
    print_row(plan, "short only",
              play(plan, short_only_policy(), until_own_end()));
}

void compare_returns(roll plan)
{
    const deadline_policy admission;
    const auto show = [&](const char* name, auto returns)
    { print_row(plan, name, play(plan, admission, returns)); };
    show("own end", until_own_end());
    show("0.05 s", at_once());
    show("first, 5.5 s", until_share_is_back{0, 5500ms});
    show("half, 5.5 s", until_share_is_back{0.5, 5500ms});
    show("first, 8.5 s", until_share_is_back{0, 8500ms});
    show("half, 8.5 s", until_share_is_back{0.5, 8500ms});
    show("0.25 accept, else own end",
         at_once_if_others_accept<until_own_end>{0.25});
    show("most", when_most_accept{8500ms});
    show("most, or own end", when_most_accept{8500ms, 0.5, 0.2});
    show("most, or own end, late 0.8", when_most_accept{8500ms, 0.8, 0.2});
    plan.exits_when_idle = false;
    show("own end; no early exit", until_own_end());
    show("most, or own end; no early exit", when_most_accept{8500ms, 0.5, 0.2});
}

} // namespace

int main(int count, char** arguments)
{
    const std::string_view what = count > 1 ? arguments[1] : "admissions";
    const int only = count > 2 ? std::atoi(arguments[2]) : 0;
    are_engines_slow = count > 3;
    for (const int entries : {2, 6, 24, 300})
        for (const int divisor : {1, 2, 3})
            for (const auto gap : {300ms, 670ms, 1500ms, 3000ms})
            {
                const roll plan{.entries = entries,
                                .stopped = std::max(1, entries / divisor),
                                .gap = gap};
                if (only != 0 && entries != only)
                    continue;
                if (what == "admissions")
                    compare_admissions(plan);
                else if (what == "returns" && divisor == 1 && gap < 3000ms)
                    compare_returns(plan);
                else if (what == "seconds" && divisor == 1 && gap == 670ms)
                {
                    print_seconds("estimate", play(plan, estimate_policy(),
                                                   until_own_end()));
                    print_seconds("deadline", play(plan, deadline_policy(),
                                                   until_own_end()));
                    print_seconds("short only", play(plan, short_only_policy(),
                                                     until_own_end()));
                }
            }
}
