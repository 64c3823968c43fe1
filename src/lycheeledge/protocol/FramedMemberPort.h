// Sends and receives messages between members as frames of the peer transport.
#pragma once

#include "../jobs/EventLog.h"
#include "../jobs/MemberMessages.h"
#include "../transport/PeerTransport.h"
#include "CompletionExecutor.h"

#include <absl/container/flat_hash_set.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

namespace lycheeledge {

/** @brief MemberPort over PeerTransport. Calls the listener on the executor's thread. */
class FramedMemberPort final : public jobs::MemberPort {
public:
    FramedMemberPort(PeerTransportSettings settings, CompletionExecutor& executor, jobs::EventLog& log);

    void setListener(jobs::MemberListener* listener) { m_listener = listener; }
    /** @brief Starts to listen. @return the port. Errors: `UNAVAILABLE`. */
    absl::StatusOr<std::uint16_t> start() { return m_transport.start(); }
    void stop() { m_transport.stop(); }
    PeerTransport::Counts counts() const { return m_transport.counts(); }

    jobs::MemberConnection connect(const std::string& host, std::uint16_t port) override;
    void send(jobs::MemberConnection connection, const jobs::MemberMessage& message) override;
    void close(jobs::MemberConnection connection) override;

private:
    PeerTransport::Handlers makeHandlers();
    void handleFrame(jobs::MemberConnection connection, const std::string& frame);

    CompletionExecutor& m_executor;
    jobs::EventLog& m_log;
    jobs::MemberListener* m_listener = nullptr;
    absl::flat_hash_set<jobs::MemberConnection> m_confirmed; // open connections with at least one valid message
    PeerTransport m_transport;
};

} // namespace lycheeledge
