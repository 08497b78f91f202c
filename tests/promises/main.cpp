// Searches random histories for a broken promise: none may be found with all
// safeguards, and one must be found without each of them.
//
//   test_promises [SEED [HISTORIES]]

#include "mutations.hpp"
#include "world.hpp"

#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>
#include <string>

namespace rc
{

template<>
struct Arbitrary<mangofold::promises::command>
{
    static Gen<mangofold::promises::command> arbitrary()
    {
        using mangofold::promises::command;
        using kind = command::kind;
        // Faults are rarer than progress, or no history gets anywhere.
        const auto kinds = gen::weightedElement<kind>({
            {6, kind::send},
            {5, kind::act},
            {14, kind::deliver},
            {10, kind::answer},
            {5, kind::finish},
            {5, kind::advance},
            {2, kind::leap},
            {2, kind::crash},
            {1, kind::replace},
            {3, kind::break_link},
            {2, kind::adopt},
            {1, kind::publish},
            {1, kind::mark},
        });
        return gen::build<command>(
            gen::set(&command::what, kinds),
            gen::set(&command::first, gen::inRange(0U, 64U)),
            gen::set(&command::second, gen::inRange(0U, 64U)));
    }
};

} // namespace rc

namespace
{

using namespace mangofold::promises;

struct search
{
    std::uint64_t seed;
    int histories;
};

/// Returns the shortest history found that breaks a promise.
template<typename Safeguards>
rc::detail::TestResult find_broken(const search& bounds)
{
    rc::detail::TestParams params;
    params.seed = bounds.seed;
    params.maxSuccess = bounds.histories;
    params.maxSize = 150;
    return rc::detail::checkTestable(
        [](const std::vector<command>& moves)
        {
            const auto broken = run_moves<Safeguards>(moves);
            if (broken)
                RC_FAIL(*broken);
        },
        rc::detail::TestMetadata{}, params);
}

bool is_failure(const rc::detail::TestResult& result)
{
    return result.template is<rc::detail::FailureResult>();
}

template<typename Safeguards>
bool must_break(const std::string& name, const search& bounds)
{
    const auto result = find_broken<Safeguards>(bounds);
    const bool has_broken = is_failure(result);
    std::cout << "without " << name << ": "
              << (has_broken ? "broken, as it must be" : "NOT BROKEN") << '\n';
    if (has_broken && std::getenv("SHOW") != nullptr)
        rc::detail::printResultMessage(result, std::cout);
    return has_broken;
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t seed = argc > 1 ? std::stoull(argv[1]) : 7;
    const int histories = argc > 2 ? std::stoi(argv[2]) : 300000;
    const search bounds{seed, histories};

    bool is_good = true;
    const auto whole = find_broken<all_safeguards>(bounds);
    if (is_failure(whole))
    {
        is_good = false;
        rc::detail::printResultMessage(whole, std::cout);
    }
    else
        std::cout << histories << " histories, seed " << seed
                  << ": no promise broken\n";

    is_good &= must_break<without_grants>("grants", bounds);
    is_good &= must_break<without_ledger>("ledger", bounds);
    is_good &= must_break<without_quarantine>("quarantine", bounds);
    is_good &= must_break<without_moved_ownership>("moved ownership", bounds);
    is_good &= must_break<without_incarnation>("incarnation", bounds);
    is_good &= must_break<without_generations>("generations", bounds);
    is_good &= must_break<without_leaving>("leaving", bounds);
    is_good &= must_break<without_renouncing>("renouncing", bounds);
    return is_good ? 0 : 1;
}
