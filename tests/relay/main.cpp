// Searches random histories of a source, entries and what they tell each other
// for a broken promise.
//
//   test_relay [SEED [HISTORIES]]

#include "simulation.hpp"

#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>

namespace rc
{

template<>
struct Arbitrary<mangofold::relay::command>
{
    static Gen<mangofold::relay::command> arbitrary()
    {
        using mangofold::relay::command;
        using kind = command::kind;
        const auto kinds = gen::weightedElement<kind>({
            {4, kind::publish},
            {4, kind::list},
            {3, kind::leave},
            {2, kind::remove},
            {2, kind::spoil},
            {12, kind::hear},
            {2, kind::read},
            {3, kind::cut},
            {2, kind::part},
            {2, kind::freeze},
            {2, kind::restart},
            {14, kind::ask},
            {12, kind::copy},
            {3, kind::lose},
            {3, kind::wait},
        });
        return gen::build<command>(
            gen::set(&command::what, kinds),
            gen::set(&command::first, gen::inRange(0U, 64U)),
            gen::set(&command::second, gen::inRange(0U, 64U)));
    }
};

} // namespace rc

int main(int argc, char** argv)
{
    using namespace mangofold::relay;
    rc::detail::TestParams params;
    params.seed = argc > 1 ? std::stoull(argv[1]) : 7;
    params.maxSuccess = argc > 2 ? std::stoi(argv[2]) : 30000;
    params.maxSize = 150;
    const auto result = rc::detail::checkTestable(
        [](const std::vector<command>& moves)
        {
            world tried;
            for (const command& move : moves)
                tried.carry_out(move);
            tried.settle();
            if (tried.broken())
                RC_FAIL(*tried.broken());
        },
        rc::detail::TestMetadata{}, params);
    rc::detail::printResultMessage(result, std::cout);
    std::cout << '\n';
    return result.template is<rc::detail::SuccessResult>() ? 0 : 1;
}
