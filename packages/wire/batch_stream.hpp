#pragma once

#include <mutex>
#include <utility>

namespace mangofold::wire
{

/// One side of a bidirectional gRPC stream. Sends queued messages in batches
/// and passes received messages one by one to the derived class. \a Reactor is
/// the client or server reactor of the gRPC callback API.
template<typename Reactor, typename Incoming, typename Outgoing>
class batch_stream : public Reactor
{
public:
    using outgoing_message =
        std::remove_cvref_t<decltype(std::declval<Outgoing>().messages(0))>;
    using incoming_message =
        std::remove_cvref_t<decltype(std::declval<Incoming>().messages(0))>;

    /// Queues \a message. Returns false if the stream is closed or the queue is
    /// full.
    bool send(outgoing_message message)
    {
        const std::lock_guard lock(m_mutex);
        if (m_is_closed || m_queued.messages_size() >= max_queued)
            return false;
        *m_queued.add_messages() = std::move(message);
        write_queued();
        return true;
    }

    /// Whether all queued messages were passed to the network, or the stream is
    /// closed.
    bool is_flushed()
    {
        const std::lock_guard lock(m_mutex);
        return m_is_closed || (!m_is_writing && m_queued.messages_size() == 0);
    }

    void OnReadDone(bool is_ok) override
    {
        if (!is_ok)
        {
            close();
            return;
        }
        for (const incoming_message& message : m_incoming.messages())
            handle_message(message);
        m_incoming.Clear();
        this->StartRead(&m_incoming);
    }

    void OnWriteDone(bool is_ok) override
    {
        {
            const std::lock_guard lock(m_mutex);
            m_is_writing = false;
            if (is_ok && !m_is_closed)
                write_queued();
            if (is_ok)
                return;
        }
        close();
    }

protected:
    // Bounds the memory that a peer which does not read can occupy.
    static constexpr int max_queued = 4096;

    virtual void handle_message(const incoming_message& message) = 0;

    /// Called once, when the stream is closed for sending.
    virtual void handle_close() = 0;

    void start_reading() { this->StartRead(&m_incoming); }

    void close()
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_is_closed)
                return;
            m_is_closed = true;
        }
        handle_close();
    }

private:
    void write_queued()
    {
        if (m_is_writing || m_queued.messages_size() == 0)
            return;
        m_is_writing = true;
        m_writing.Clear();
        m_writing.Swap(&m_queued);
        this->StartWrite(&m_writing);
    }

    std::mutex m_mutex;
    bool m_is_closed = false;
    bool m_is_writing = false;
    Incoming m_incoming;
    Outgoing m_queued;
    Outgoing m_writing;
};

} // namespace mangofold::wire
