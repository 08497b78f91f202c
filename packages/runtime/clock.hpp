#pragma once

#include "decision/time.hpp"

namespace mangofold::runtime
{

/// The clock that every part of a process asks for the time.
class clock
{
public:
    virtual ~clock() = default;

    /// Returns the present instant.
    virtual decision::instant now() const = 0;
};

/// The clock of the running system, which counts suspended time too.
class system_clock : public clock
{
public:
    decision::instant now() const override;
};

} // namespace mangofold::runtime
