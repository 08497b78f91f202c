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

using mangofold::promises::command;
using mangofold::promises::history;

/// What a history is mostly made of. With one mixture for all, what needs
/// several rare moves in order is hardly ever tried.
enum class focus
{
    anything,
    moved_owners, ///< Manifests change while requests are sent again.
    leaving,      ///< Targets are called leaving, and come back later.
    restarts      ///< Processes die or wake late while messages wait.
};

inline Gen<command::kind> kinds_of(focus about)
{
    using kind = command::kind;
    // Faults are rarer than progress, or no history gets anywhere.
    switch (about)
    {
    case focus::moved_owners:
        return gen::weightedElement<kind>({{6, kind::send},
                                           {2, kind::act},
                                           {14, kind::deliver},
                                           {3, kind::answer},
                                           {1, kind::finish},
                                           {1, kind::advance},
                                           {1, kind::break_link},
                                           {6, kind::adopt},
                                           {2, kind::publish}});
    case focus::leaving:
        return gen::weightedElement<kind>({{6, kind::send},
                                           {3, kind::act},
                                           {14, kind::deliver},
                                           {10, kind::answer},
                                           {1, kind::finish},
                                           {4, kind::advance},
                                           {2, kind::leap},
                                           {1, kind::break_link},
                                           {3, kind::mark}});
    case focus::restarts:
        return gen::weightedElement<kind>({{6, kind::send},
                                           {3, kind::act},
                                           {14, kind::deliver},
                                           {4, kind::answer},
                                           {2, kind::finish},
                                           {3, kind::advance},
                                           {1, kind::leap},
                                           {3, kind::crash},
                                           {2, kind::replace},
                                           {3, kind::break_link}});
    case focus::anything:
        break;
    }
    return gen::weightedElement<kind>({{6, kind::send},
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
                                       {1, kind::mark}});
}

inline Gen<command> commands_of(focus about)
{
    return gen::build<command>(
        gen::set(&command::what, kinds_of(about)),
        gen::set(&command::first, gen::inRange(0U, 64U)),
        gen::set(&command::second, gen::inRange(0U, 64U)));
}

template<>
struct Arbitrary<history>
{
    static Gen<history> arbitrary()
    {
        const auto about =
            gen::weightedElement<focus>({{2, focus::anything},
                                         {1, focus::moved_owners},
                                         {1, focus::leaving},
                                         {1, focus::restarts}});
        return gen::mapcat(
            about,
            [](focus chosen)
            {
                // A second sending of the same request is what breaks most
                // promises, so worlds of one or two requests come often.
                return gen::build<history>(
                    gen::set(&history::only_request,
                             gen::weightedElement<int>(
                                 {{4, -1}, {1, 0}, {1, 1}, {1, 2}, {1, 3}})),
                    gen::set(&history::moves,
                             gen::container<std::vector<command>>(
                                 commands_of(chosen))));
            });
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
        [](const history& tried)
        {
            const auto broken = run_moves<Safeguards>(tried);
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
    is_good &= must_break<without_restart_quarantine>("quarantine", bounds);
    is_good &= must_break<without_ownership_check>("moved ownership", bounds);
    is_good &= must_break<without_incarnation_check>("incarnation", bounds);
    is_good &= must_break<without_generation_check>("generations", bounds);
    is_good &= must_break<without_leaving_refusal>("leaving", bounds);
    is_good &= must_break<without_renouncing>("renouncing", bounds);
    return is_good ? 0 : 1;
}
