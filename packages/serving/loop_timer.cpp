#include "serving/loop_timer.hpp"

namespace mangofold::serving
{

namespace
{

const runtime::system_clock running_clock;
const runtime::clock* chosen = &running_clock;
bool is_chosen_paused = false;

} // namespace

void loop_clock::set_source(const runtime::clock& time, bool is_paused)
{
    chosen = &time;
    is_chosen_paused = is_paused;
}

const runtime::clock& loop_clock::source()
{
    return *chosen;
}

bool loop_clock::is_paused()
{
    return is_chosen_paused;
}

} // namespace mangofold::serving
