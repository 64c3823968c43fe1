// HTTP server based on RESTinio. RESTinio is included only here because it compiles slowly.

#include "HttpServer.h"

#include "BoundedRing.h"
#include "TlsCertificate.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <glog/logging.h>
#include <restinio/all.hpp>
#include <restinio/tls.hpp>

#include <atomic>
#include <exception>
#include <stdexcept>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace lycheeledge {

namespace {

    // Limits of the request line and the header fields, in bytes.
    constexpr std::size_t maxTargetBytes = 8192;
    constexpr std::size_t maxFieldNameBytes = 256;
    constexpr std::size_t maxFieldValueBytes = 8192;
    constexpr std::size_t maxFields = 64;
    // RESTinio drops the connection of a body over its own limit without a response. Bodies between the two limits
    // are read whole and answered with status 413.
    constexpr std::size_t bodyLimitMargin = 1 << 20;
    constexpr std::size_t readBufferBytes = 16384;
    constexpr auto timeoutCheckPeriod = std::chrono::milliseconds(250);

    /** @brief Open connections, by id. Used only on the server's thread. */
    class ConnectionCounter {
    public:
        /** @brief Notes a connection before its TLS handshake, of which RESTinio does not tell the listener. */
        void begin(restinio::connection_id_t id) { m_open.insert(id); }

        void state_changed(const restinio::connection_state::notice_t& notice) noexcept // NOLINT
        {
            if (std::holds_alternative<restinio::connection_state::accepted_t>(notice.cause()))
                m_open.insert(notice.connection_id());
            else
                m_open.erase(notice.connection_id());
        }

        std::size_t count() const { return m_open.size(); }

    private:
        std::unordered_set<restinio::connection_id_t> m_open;
    };

    using RequestHandler = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;

    struct Traits : public restinio::single_thread_traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t,
                        RequestHandler> {
        using connection_state_listener_t = ConnectionCounter; // NOLINT
    };

    struct TlsTraits : public restinio::single_thread_tls_traits_t<restinio::asio_timer_manager_t,
                           restinio::null_logger_t, RequestHandler> {
        using connection_state_listener_t = ConnectionCounter; // NOLINT
    };

    /** @brief What the TLS handshakes of a server's thread need to know. */
    struct HandshakeContext {
        ConnectionCounter* counter = nullptr;
        std::chrono::milliseconds timeout {};
    };
    thread_local HandshakeContext handshakeContext;

    /**
     * @brief Replaces RESTinio's function of this name, which has no timeout for the handshake, so that silent peers
     * would hold their connections forever. Found by the compiler because it fits TlsTraits better.
     */
    template <typename StartRead, typename Failed>
    void prepare_connection_and_start_read(restinio::impl::tls_socket_t& socket, // NOLINT
        restinio::impl::connection_t<TlsTraits>& connection, StartRead startRead, Failed failed)
    {
        handshakeContext.counter->begin(connection.connection_id());
        const auto timer = std::make_shared<asio::steady_timer>(socket.get_executor(), handshakeContext.timeout);
        const auto alive = connection.shared_from_this();
        timer->async_wait([&socket, alive](const asio::error_code& ec) {
            asio::error_code ignored;
            if (!ec)
                socket.lowest_layer().close(ignored);
        });
        socket.async_handshake(asio::ssl::stream_base::server,
            [timer, alive, startRead = std::move(startRead), failed = std::move(failed)](const asio::error_code& ec) {
                timer->cancel();
                if (ec)
                    failed(ec);
                else
                    startRead();
            });
    }

    HttpRequest convertRequest(const restinio::request_t& request)
    {
        HttpRequest result;
        result.method = request.header().method().c_str();
        result.target = request.header().request_target();
        request.header().for_each_field([&result](const restinio::http_header_field_t& field) {
            std::string name = absl::AsciiStrToLower(field.name());
            auto& value = result.headers[std::move(name)];
            // Repeated fields are joined as RFC 9110, section 5.3, says.
            value = value.empty() ? field.value() : absl::StrCat(value, ", ", field.value());
        });
        result.body = request.body();
        return result;
    }

    void sendResponse(restinio::request_t& request, HttpResponse response, bool close)
    {
        const auto status = static_cast<std::uint16_t>(response.status);
        auto builder = request.create_response(
            restinio::http_status_line_t(restinio::http_status_code_t(status), response.status < 400 ? "OK" : "Error"));
        if (close)
            builder.connection_close();
        for (const auto& [name, value] : response.headers)
            builder.append_header(name, value);
        builder.set_body(std::move(response.body));
        builder.done();
    }

    struct Answer {
        std::uint64_t id = 0;
        HttpResponse response;
    };

    /** @brief State shared by the server's thread and the responders. */
    struct Core {
        explicit Core(std::size_t maxConnections)
            : answers(maxConnections + 1)
        {
        }

        asio::io_context context { 1 };
        // A connection has at most one request in progress, so that the ring never fills up.
        BoundedRing<Answer> answers;
        std::atomic<bool> closing { false };
        // Used only on the server's thread.
        std::unordered_map<std::uint64_t, restinio::request_handle_t> pending;
        std::uint64_t nextId = 1;

        void drain()
        {
            while (auto answer = answers.popUntil({})) {
                const auto node = pending.extract(answer->id);
                if (node.empty())
                    continue;
                try {
                    sendResponse(*node.mapped(), std::move(answer->response), closing);
                } catch (const std::exception& ex) {
                    LOG(WARNING) << "[http] Response not sent: " << ex.what();
                }
            }
        }
    };

    /** @brief Right to answer one request once. Answers with status 500 if it is dropped unused. */
    class Ticket {
    public:
        Ticket(const std::shared_ptr<Core>& core, std::uint64_t id)
            : m_core(core)
            , m_id(id)
        {
        }
        ~Ticket() { answer({ 500, {}, "no response" }); }
        Ticket(const Ticket&) = delete;
        Ticket& operator=(const Ticket&) = delete;

        void answer(HttpResponse response)
        {
            if (m_used.exchange(true))
                return;
            const auto core = m_core.lock();
            if (!core || !core->answers.tryPush({ m_id, std::move(response) }))
                return;
            asio::post(core->context, [weak = m_core] {
                if (const auto locked = weak.lock())
                    locked->drain();
            });
        }

    private:
        std::weak_ptr<Core> m_core;
        std::uint64_t m_id;
        std::atomic<bool> m_used { false };
    };

} // namespace

namespace {

    /** @brief RESTinio server of either kind. */
    class Listener {
    public:
        virtual ~Listener() = default;

        virtual void open() = 0;
        virtual void close() = 0;
    };

    template <typename ServerTraits> class ListenerOf final : public Listener {
    public:
        ListenerOf(asio::io_context& context, restinio::server_settings_t<ServerTraits> settings)
            : m_server(restinio::external_io_context(context), std::move(settings))
        {
        }

        void open() override { m_server.open_sync(); }
        void close() override { m_server.close_sync(); }

    private:
        restinio::http_server_t<ServerTraits> m_server;
    };

} // namespace

struct HttpServer::Implementation {
    Implementation(HttpServerSettings given, Handler callback)
        : settings(std::move(given))
        , handler(std::move(callback))
        , certificate(settings.certificatePath, settings.keyPath)
        , core(std::make_shared<Core>(settings.maxConnections))
        , counter(std::make_shared<ConnectionCounter>())
    {
    }

    bool usesTls() const { return !settings.certificatePath.empty(); }

    restinio::request_handling_status_t handle(const restinio::request_handle_t& request)
    {
        if (request->header().connection() == restinio::http_connection_header_t::upgrade)
            return restinio::request_rejected();
        if (request->body().size() > settings.maxBodyBytes) {
            sendResponse(*request, { 413, {}, "request body is too large" }, true);
            return restinio::request_accepted();
        }
        const std::uint64_t id = core->nextId++;
        core->pending.emplace(id, request);
        auto ticket = std::make_shared<Ticket>(core, id);
        const Respond respond = [ticket](HttpResponse response) { ticket->answer(std::move(response)); };
        try {
            handler(convertRequest(*request), respond);
        } catch (const std::exception& ex) {
            LOG(ERROR) << "[http] Handler failed: " << ex.what();
            ticket->answer({ 500, {}, "internal error" });
        }
        return restinio::request_accepted();
    }

    template <typename ServerTraits> restinio::server_settings_t<ServerTraits> makeServerSettings(std::uint16_t& port)
    {
        restinio::server_settings_t<ServerTraits> result;
        result.address(settings.address)
            .port(settings.port)
            .protocol(asio::ip::make_address(settings.address).is_v6() ? asio::ip::tcp::v6() : asio::ip::tcp::v4())
            .buffer_size(readBufferBytes)
            .concurrent_accepts_count(4)
            .max_pipelined_requests(1)
            .read_next_http_message_timelimit(settings.readTimeout)
            .handle_request_timeout(settings.handleTimeout)
            .write_http_response_timelimit(settings.readTimeout)
            .timer_manager(timeoutCheckPeriod)
            .connection_state_listener(counter)
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t {}
                                          .max_url_size(maxTargetBytes)
                                          .max_field_name_size(maxFieldNameBytes)
                                          .max_field_value_size(maxFieldValueBytes)
                                          .max_field_count(maxFields)
                                          .max_body_size(settings.maxBodyBytes + bodyLimitMargin))
            .acceptor_post_bind_hook(
                [&port](asio::ip::tcp::acceptor& acceptor) { port = acceptor.local_endpoint().port(); })
            // RESTinio's own connection limiter loses a slot whenever a peer resets before it was accepted, so the
            // limit is enforced here: the exception closes the new socket.
            .socket_options_setter([open = counter, limit = settings.maxConnections](auto& options) {
                if (open->count() >= limit)
                    throw std::runtime_error("too many connections");
                options.set_option(asio::ip::tcp::no_delay(true));
            })
            .request_handler([this](const restinio::request_handle_t& request) { return handle(request); });
        return result;
    }

    /** @brief Creates the server and binds it. @return the port. Throws what RESTinio and Asio throw. */
    std::uint16_t open()
    {
        std::uint16_t port = 0;
        if (usesTls()) {
            auto context = std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
            certificate.install(context->native_handle());
            auto serverSettings = makeServerSettings<TlsTraits>(port);
            serverSettings.tls_context(std::move(context));
            listener = std::make_unique<ListenerOf<TlsTraits>>(core->context, std::move(serverSettings));
        } else {
            listener = std::make_unique<ListenerOf<Traits>>(core->context, makeServerSettings<Traits>(port));
        }
        listener->open();
        return port;
    }

    HttpServerSettings settings;
    Handler handler;
    TlsCertificate certificate;
    std::shared_ptr<Core> core;
    std::shared_ptr<ConnectionCounter> counter; // used only on the server's thread
    std::unique_ptr<Listener> listener;
    std::thread thread;
};

HttpServer::HttpServer(HttpServerSettings settings, Handler handler)
    : m_implementation(std::make_unique<Implementation>(std::move(settings), std::move(handler)))
{
}

HttpServer::~HttpServer() { stop(); }

absl::StatusOr<std::uint16_t> HttpServer::start()
{
    auto& impl = *m_implementation;
    if (!impl.core)
        return absl::UnavailableError("the server was stopped");
    if (impl.usesTls()) {
        if (absl::Status status = impl.certificate.load(); !status.ok())
            return status;
    }
    std::uint16_t port = 0;
    try {
        port = impl.open();
    } catch (const std::exception& ex) {
        impl.listener.reset();
        return absl::UnavailableError(
            absl::StrCat("cannot listen on ", impl.settings.address, ":", impl.settings.port, ": ", ex.what()));
    }
    impl.thread = std::thread([core = impl.core, counter = impl.counter, timeout = impl.settings.readTimeout] {
        handshakeContext = { counter.get(), timeout };
        const auto guard = asio::make_work_guard(core->context);
        core->context.run();
    });
    return port;
}

absl::Status HttpServer::reloadCertificate()
{
    auto& impl = *m_implementation;
    return impl.usesTls() ? impl.certificate.load() : absl::FailedPreconditionError("the server does not use TLS");
}

void HttpServer::closeAfterResponses()
{
    auto& impl = *m_implementation;
    if (impl.core)
        impl.core->closing = true;
}

void HttpServer::stopAccepting()
{
    auto& impl = *m_implementation;
    if (!impl.thread.joinable())
        return;
    closeAfterResponses();
    asio::post(impl.core->context, [listener = impl.listener.get()] { listener->close(); });
}

void HttpServer::stop()
{
    auto& impl = *m_implementation;
    if (!impl.thread.joinable())
        return;
    impl.core->answers.close();
    impl.core->context.stop();
    impl.thread.join();
    impl.core->pending.clear();
    impl.listener.reset();
    // The connections are owned by operations of the I/O context and close with it.
    impl.core.reset();
}

} // namespace lycheeledge
