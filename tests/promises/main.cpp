// Searches random histories for a violated guarantee. With all safeguards no
// violation may be found; with any single safeguard disabled, a violation must
// be found.
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

/// The mixture of commands in a history. A single mixture for all histories
/// would rarely produce failures that need several rare commands in order.
enum class command_mix
{
    anything,
    moved_owners, ///< Manifests change while requests are resent.
    leaving,      ///< Targets are listed as leaving and return later.
    restarts      ///< Processes die or resume late while messages wait.
};

inline Gen<command::kind> command_types(command_mix mix)
{
    using kind = command::kind;
    // Faults are rarer than progress, since histories would otherwise reach
    // few states.
    switch (mix)
    {
    case command_mix::moved_owners:
        return gen::weightedElement<kind>({{6, kind::send},
                                           {2, kind::resume},
                                           {14, kind::deliver_to_sidecar},
                                           {3, kind::deliver_to_entry},
                                           {1, kind::finish_run},
                                           {1, kind::advance},
                                           {1, kind::break_link},
                                           {6, kind::adopt},
                                           {2, kind::publish}});
    case command_mix::leaving:
        return gen::weightedElement<kind>({{6, kind::send},
                                           {3, kind::resume},
                                           {14, kind::deliver_to_sidecar},
                                           {10, kind::deliver_to_entry},
                                           {1, kind::finish_run},
                                           {4, kind::advance},
                                           {2, kind::advance_far},
                                           {1, kind::break_link},
                                           {3, kind::set_target_leaving}});
    case command_mix::restarts:
        return gen::weightedElement<kind>({{6, kind::send},
                                           {3, kind::resume},
                                           {14, kind::deliver_to_sidecar},
                                           {4, kind::deliver_to_entry},
                                           {2, kind::finish_run},
                                           {3, kind::advance},
                                           {1, kind::advance_far},
                                           {3, kind::crash},
                                           {2, kind::replace},
                                           {3, kind::break_link}});
    case command_mix::anything:
        break;
    }
    return gen::weightedElement<kind>({{6, kind::send},
                                       {5, kind::resume},
                                       {14, kind::deliver_to_sidecar},
                                       {10, kind::deliver_to_entry},
                                       {5, kind::finish_run},
                                       {5, kind::advance},
                                       {2, kind::advance_far},
                                       {2, kind::crash},
                                       {1, kind::replace},
                                       {3, kind::break_link},
                                       {2, kind::adopt},
                                       {1, kind::publish},
                                       {1, kind::set_target_leaving}});
}

inline Gen<command> commands_of(command_mix mix)
{
    return gen::build<command>(
        gen::set(&command::type, command_types(mix)),
        gen::set(&command::first_argument, gen::inRange(0U, 64U)),
        gen::set(&command::second_argument, gen::inRange(0U, 64U)));
}

template<>
struct Arbitrary<history>
{
    static Gen<history> arbitrary()
    {
        const auto mix =
            gen::weightedElement<command_mix>({{2, command_mix::anything},
                                               {1, command_mix::moved_owners},
                                               {1, command_mix::leaving},
                                               {1, command_mix::restarts}});
        return gen::mapcat(
            mix,
            [](command_mix chosen)
            {
                // Most violations need a resend of the same request, so half
                // of the histories use a single request.
                return gen::build<history>(
                    gen::set(&history::only_request,
                             gen::weightedElement<int>(
                                 {{4, -1}, {1, 0}, {1, 1}, {1, 2}, {1, 3}})),
                    gen::set(&history::commands,
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

/// Searches for a history that violates a guarantee, and shrinks it.
template<typename Safeguards>
rc::detail::TestResult find_violation(const search& bounds)
{
    rc::detail::TestParams params;
    params.seed = bounds.seed;
    params.maxSuccess = bounds.histories;
    params.maxSize = 150;
    return rc::detail::checkTestable(
        [](const history& tried)
        {
            const auto violation = run_history<Safeguards>(tried);
            if (violation)
                RC_FAIL(*violation);
        },
        rc::detail::TestMetadata{}, params);
}

bool has_failed(const rc::detail::TestResult& result)
{
    return result.template is<rc::detail::FailureResult>();
}

template<typename Safeguards>
bool must_find_violation(const std::string& name, const search& bounds)
{
    const auto result = find_violation<Safeguards>(bounds);
    const bool is_violated = has_failed(result);
    std::cout << "without " << name << ": "
              << (is_violated ? "violation found, as expected"
                              : "NO VIOLATION FOUND")
              << '\n';
    if (is_violated && std::getenv("SHOW") != nullptr)
        rc::detail::printResultMessage(result, std::cout);
    return is_violated;
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t seed = argc > 1 ? std::stoull(argv[1]) : 7;
    const int histories = argc > 2 ? std::stoi(argv[2]) : 300000;
    const search bounds{seed, histories};

    bool has_passed = true;
    const auto full_result = find_violation<all_safeguards>(bounds);
    if (has_failed(full_result))
    {
        has_passed = false;
        rc::detail::printResultMessage(full_result, std::cout);
    }
    else
        std::cout << histories << " histories, seed " << seed
                  << ": no guarantee violated\n";

    has_passed &= must_find_violation<without_grants>("grants", bounds);
    has_passed &= must_find_violation<without_ledger>("ledger", bounds);
    has_passed &= must_find_violation<without_restart_quarantine>(
        "restart quarantine", bounds);
    has_passed &=
        must_find_violation<without_ownership_check>("ownership check", bounds);
    has_passed &= must_find_violation<without_incarnation_check>(
        "incarnation check", bounds);
    has_passed &= must_find_violation<without_generation_check>(
        "generation check", bounds);
    has_passed &= must_find_violation<without_leaving_refusal>(
        "refusal while leaving", bounds);
    has_passed &= must_find_violation<without_renouncing>("renouncing", bounds);
    return has_passed ? 0 : 1;
}
