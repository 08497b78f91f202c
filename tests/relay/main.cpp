// Searches random histories of a source and of entries that relay its state to
// each other for a violated invariant.
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
            {4, kind::register_target},
            {3, kind::mark_leaving},
            {2, kind::remove_target},
            {2, kind::write_malformed},
            {12, kind::receive_change},
            {2, kind::read_all},
            {3, kind::toggle_source},
            {2, kind::toggle_link},
            {2, kind::toggle_freeze},
            {2, kind::restart},
            {14, kind::poll_peer},
            {12, kind::deliver_copy},
            {3, kind::drop_copy},
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
        [](const std::vector<command>& commands)
        {
            simulation run;
            for (const command& step : commands)
                run.execute(step);
            run.settle();
            if (run.violation())
                RC_FAIL(*run.violation());
        },
        rc::detail::TestMetadata{}, params);
    rc::detail::printResultMessage(result, std::cout);
    std::cout << '\n';
    return result.template is<rc::detail::SuccessResult>() ? 0 : 1;
}
