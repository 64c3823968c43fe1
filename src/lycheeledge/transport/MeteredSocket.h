// Socket types for RESTinio that report the received bytes to a ConnectionLedger.
#pragma once

#include "ConnectionLedger.h"

#include <restinio/all.hpp>
#include <restinio/tls.hpp>

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace lycheeledge::detail {

/// A body string that grows by doubling has up to twice the capacity of its content.
inline constexpr std::size_t memoryPerByte = 2;
/// RESTinio keeps position, size and extension (48 bytes) of each chunk of a body in a vector that grows by doubling.
/// Each chunk contains a carriage return.
inline constexpr std::size_t memoryPerLine = 96;

/** @brief Entry of one connection in the ledger. Exists until the connection object is destroyed. */
class Meter {
public:
    Meter(std::shared_ptr<ConnectionLedger> ledger, ConnectionLedger::Id id)
        : m_ledger(std::move(ledger))
        , m_id(id)
    {
    }
    ~Meter() { m_ledger->remove(m_id); }
    Meter(const Meter&) = delete;
    Meter& operator=(const Meter&) = delete;

    /** @return false if the connection has to be closed. */
    bool received(const asio::mutable_buffer& buffer, std::size_t n)
    {
        const auto* begin = static_cast<const char*>(buffer.data());
        const auto lines = static_cast<std::size_t>(std::count(begin, begin + n, '\r'));
        return m_ledger->received(m_id, n, n * memoryPerByte + lines * memoryPerLine, std::chrono::steady_clock::now());
    }

private:
    std::shared_ptr<ConnectionLedger> m_ledger;
    ConnectionLedger::Id m_id;
};

/** @brief RESTinio's socket type `Base` with a meter of the bytes received. */
template <typename Base> class MeteredSocket : public Base {
public:
    using Base::Base;

    void attach(std::unique_ptr<Meter> meter) { m_meter = std::move(meter); }

    template <typename Handler> void async_read_some(const asio::mutable_buffer& buffer, Handler handler) // NOLINT
    {
        const auto executor = asio::get_associated_executor(handler, this->get_executor());
        Base::async_read_some(buffer,
            asio::bind_executor(executor,
                [this, buffer, handler = std::move(handler)](const asio::error_code& ec, std::size_t n) mutable {
                    // The handler keeps the connection alive, and with it this socket.
                    const bool open = ec || !m_meter || m_meter->received(buffer, n);
                    handler(open ? ec : asio::error::make_error_code(asio::error::connection_reset), open ? n : 0);
                }));
    }

private:
    std::unique_ptr<Meter> m_meter;
};

using MeteredTcpSocket = MeteredSocket<asio::ip::tcp::socket>;
using MeteredTlsSocket = MeteredSocket<restinio::impl::tls_socket_t>;

} // namespace lycheeledge::detail

// RESTinio selects settings and accepted sockets of TLS listeners by the exact socket type.
template <typename Settings>
class restinio::socket_type_dependent_settings_t<Settings, lycheeledge::detail::MeteredTlsSocket>
    : public restinio::socket_type_dependent_settings_t<Settings, restinio::impl::tls_socket_t> {
protected:
    ~socket_type_dependent_settings_t() = default;

public:
    socket_type_dependent_settings_t() = default;
    socket_type_dependent_settings_t(socket_type_dependent_settings_t&&) = default; // NOLINT
};

template <> class restinio::impl::socket_supplier_t<lycheeledge::detail::MeteredTlsSocket> {
    using Socket = lycheeledge::detail::MeteredTlsSocket;

protected:
    template <typename Settings>
    socket_supplier_t(Settings& settings, asio::io_context& context)
        : m_tlsContext(settings.giveaway_tls_context())
        , m_context(context)
    {
        for (std::size_t i = 0; i < settings.concurrent_accepts_count(); ++i)
            m_sockets.emplace_back(m_context, m_tlsContext);
    }
    virtual ~socket_supplier_t() = default;

    Socket& socket(std::size_t i) { return m_sockets.at(i); }
    Socket move_socket(std::size_t i) // NOLINT
    {
        return std::exchange(m_sockets.at(i), Socket(m_context, m_tlsContext));
    }
    std::size_t concurrent_accept_sockets_count() const { return m_sockets.size(); } // NOLINT

private:
    std::shared_ptr<asio::ssl::context> m_tlsContext;
    asio::io_context& m_context;
    std::vector<Socket> m_sockets;
};
