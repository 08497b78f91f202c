#include "sidecar/entry_stream.hpp"

#include "wire/convert.hpp"

namespace mangofold::sidecar
{

void entry_stream::open()
{
    m_self = shared_from_this();
    start_reading();
}

void entry_stream::send_with_generation(wire::SidecarMessage message)
{
    message.set_generation(m_owner.m_store.generation());
    send(std::move(message));
}

void entry_stream::handle_message(const wire::EntryMessage& message)
{
    request_newer_manifest(message.generation());
    switch (message.kind_case())
    {
    case wire::EntryMessage::kHello:
        return m_owner.identify_stream(*this, message.hello().entry_id());
    case wire::EntryMessage::kSubmit:
        return handle_submit(message.submit(), message.generation());
    case wire::EntryMessage::kCancel:
        return m_owner.m_admission.cancel({m_link, message.cancel().number()});
    case wire::EntryMessage::kMint:
        return handle_mint(message.mint());
    case wire::EntryMessage::kConfigWanted:
        return send_manifest();
    case wire::EntryMessage::kConfig:
        m_owner.m_store.offer(message.config().body(),
                              configuration::source::peer);
        return;
    case wire::EntryMessage::kLeaving:
        if (m_owner.m_admission.renew_leaving())
            m_owner.renew_grants();
        return;
    case wire::EntryMessage::KIND_NOT_SET:
        return;
    }
}

void entry_stream::handle_submit(const wire::Submit& message,
                                 std::uint64_t generation)
{
    m_owner.m_admission.submit(wire::from_wire(message, m_link, generation));
}

void entry_stream::request_newer_manifest(std::uint64_t generation)
{
    if (generation <= m_owner.m_store.generation())
        return;
    wire::SidecarMessage message;
    message.mutable_config_wanted();
    send_with_generation(std::move(message));
}

void entry_stream::send_manifest()
{
    const configuration::snapshot_ptr current = m_owner.m_store.current();
    if (!current)
        return;
    wire::SidecarMessage message;
    message.mutable_config()->set_body(current->body);
    send_with_generation(std::move(message));
}

void entry_stream::handle_mint(const wire::Mint& message)
{
    wire::SidecarMessage reply;
    wire::Minted& minted = *reply.mutable_minted();
    minted.set_number(message.number());
    const auto ticket = m_owner.m_admission.issue_ticket();
    minted.set_refused(!ticket.has_value());
    if (ticket)
    {
        minted.mutable_ticket()->set_target_id(ticket->target);
        minted.mutable_ticket()->set_incarnation(ticket->incarnation);
        minted.mutable_ticket()->set_serial(ticket->serial);
    }
    send_with_generation(std::move(reply));
}

void entry_stream::handle_close()
{
    m_owner.remove_stream(*this);
    Finish(grpc::Status::OK);
}

} // namespace mangofold::sidecar
