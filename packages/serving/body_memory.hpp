#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>

namespace mangofold::serving
{

/// Limits the memory that the bodies of all answers take together, so that many
/// targets that send bodies without end can't use up the memory of a process.
class body_memory
{
public:
    /// Bytes that each body may have whatever the others take.
    static constexpr std::size_t assured_bytes = 256U << 10U;

    /// Bytes beyond the assured ones that all bodies may have together.
    static constexpr std::size_t shared_bytes = 64U << 20U;

    /// The bytes that one body takes. Gives them back at its end.
    class share
    {
    public:
        explicit share(const body_memory& memory) : m_taken(memory.m_taken) {}
        ~share() { resize(0); }
        share(const share&) = delete;
        share& operator=(const share&) = delete;

        /// Changes the body's size to \a bytes. Returns false, without a
        /// change, if there is no room for it.
        bool resize(std::size_t bytes)
        {
            const std::size_t needed = bytes - std::min(bytes, assured_bytes);
            if (*m_taken - m_own + needed > shared_bytes && needed > m_own)
                return false;
            *m_taken += needed - m_own;
            m_own = needed;
            return true;
        }

    private:
        std::shared_ptr<std::size_t> m_taken; ///< Outlives the process's end.
        std::size_t m_own = 0;
    };

private:
    std::shared_ptr<std::size_t> m_taken = std::make_shared<std::size_t>(0);
};

} // namespace mangofold::serving
