#include "serving/loop_timer.hpp"

namespace mangofold::serving
{

namespace
{

const runtime::system_clock default_clock;
const runtime::clock* current_clock = &default_clock;
bool is_current_clock_paused = false;

} // namespace

void loop_clock::set_source(const runtime::clock& time, bool is_paused)
{
    current_clock = &time;
    is_current_clock_paused = is_paused;
}

const runtime::clock& loop_clock::source()
{
    return *current_clock;
}

bool loop_clock::is_paused()
{
    return is_current_clock_paused;
}

} // namespace mangofold::serving
