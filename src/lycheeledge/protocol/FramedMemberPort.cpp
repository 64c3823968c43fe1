// Sends and receives messages between members as frames of the peer transport.

#include "FramedMemberPort.h"

#include "CerealRecordCodec.h"

#include <utility>

namespace lycheeledge {

FramedMemberPort::FramedMemberPort(PeerTransportSettings settings, CompletionExecutor& executor, jobs::EventLog& log)
    : m_executor(executor)
    , m_log(log)
    , m_transport(std::move(settings), makeHandlers())
{
}

PeerTransport::Handlers FramedMemberPort::makeHandlers()
{
    PeerTransport::Handlers result;
    result.datagram = [](const std::string&) {};
    result.accepted = [](PeerTransport::ConnectionId) {};
    result.connected = [](PeerTransport::ConnectionId) {}; // the transport queues frames until the connection is open
    result.frame = [this](PeerTransport::ConnectionId connection, std::string frame) {
        m_executor.execute([this, connection, frame = std::move(frame)] { handleFrame(connection, frame); });
    };
    result.closed = [this](PeerTransport::ConnectionId connection) {
        m_executor.execute([this, connection] {
            m_confirmed.erase(connection);
            m_listener->closed(connection);
        });
    };
    return result;
}

void FramedMemberPort::handleFrame(jobs::MemberConnection connection, const std::string& frame)
{
    const auto message = decodeMemberMessage(frame);
    if (message.ok()) {
        if (m_confirmed.insert(connection).second)
            m_transport.confirm(connection);
        m_listener->received(connection, *message);
        return;
    }
    m_log.record("member_message_unreadable", { { "bytes", frame.size() }, { "error", message.status().message() } });
    m_transport.close(connection);
}

jobs::MemberConnection FramedMemberPort::connect(const std::string& host, std::uint16_t port)
{
    return m_transport.connect(host, port);
}

void FramedMemberPort::send(jobs::MemberConnection connection, const jobs::MemberMessage& message)
{
    m_transport.sendFrame(connection, encodeMemberMessage(message));
}

void FramedMemberPort::close(jobs::MemberConnection connection) { m_transport.close(connection); }

} // namespace lycheeledge
