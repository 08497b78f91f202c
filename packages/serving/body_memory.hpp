#pragma once

#include "decision/admission/memory_account.hpp"

#include <algorithm>
#include <cstddef>
#include <memory>

namespace mangofold::serving
{

/// The memory that the bodies of all requests and answers take together, so
/// that neither callers nor targets can use up the memory of a process.
class body_memory
{
public:
    /// Bytes that each answer may have whatever the others take.
    static constexpr std::size_t assured_bytes = 256U << 10U;

    using account_ptr = std::shared_ptr<decision::memory_account>;

    explicit body_memory(std::size_t process_bytes = 0)
        : m_account(std::make_shared<decision::memory_account>(process_bytes))
    {
    }

    /// Returns the same memory for answers that may each have \a bytes whatever
    /// the others take.
    body_memory with_assured(std::size_t bytes) const
    {
        body_memory memory(*this);
        memory.m_assured = bytes;
        return memory;
    }

    decision::memory_account& account() const { return *m_account; }

    /// The bytes that the body of one answer takes. Gives them back at its end.
    class share
    {
    public:
        explicit share(const body_memory& memory)
            : m_account(memory.m_account), m_assured(memory.m_assured)
        {
        }
        ~share() { resize(0); }
        share(const share&) = delete;
        share& operator=(const share&) = delete;

        /// Changes the body's size to \a bytes. Returns false, without a
        /// change, if there is no room for it.
        bool resize(std::size_t bytes)
        {
            if (!m_account->resize_answer(m_own, bytes, beyond_assured(m_own),
                                          beyond_assured(bytes)))
                return false;
            m_own = bytes;
            return true;
        }

    private:
        std::size_t beyond_assured(std::size_t bytes) const
        {
            return bytes - std::min(bytes, m_assured);
        }

        account_ptr m_account; ///< Outlives the process's end.
        std::size_t m_assured;
        std::size_t m_own = 0;
    };

    /// The bytes that the body of one request has been granted. Gives them back
    /// at its end.
    class request_share
    {
    public:
        explicit request_share(const body_memory& memory)
            : m_account(memory.m_account)
        {
        }
        ~request_share()
        {
            if (m_own > 0)
                m_account->give_back(m_own);
        }
        request_share(const request_share&) = delete;
        request_share& operator=(const request_share&) = delete;

        std::size_t size() const { return m_own; }

        /// Notes that the account has granted \a bytes.
        void add_granted(std::size_t bytes) { m_own += bytes; }

        /// Whether there is room for the share to grow to \a bytes.
        bool fits(std::size_t bytes) const
        {
            return bytes <= m_own || m_account->fits_request(bytes - m_own);
        }

        /// Takes more bytes, so that there are \a bytes at least. Returns
        /// whether there is room.
        bool grow_to(std::size_t bytes)
        {
            if (bytes <= m_own)
                return true;
            if (!m_account->grow_request(bytes - m_own))
                return false;
            m_own = bytes;
            return true;
        }

    private:
        account_ptr m_account; ///< Outlives the process's end.
        std::size_t m_own = 0;
    };

private:
    account_ptr m_account;
    std::size_t m_assured = assured_bytes;
};

} // namespace mangofold::serving
