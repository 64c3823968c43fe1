// HTTP server based on RESTinio, which is included only by this file because it is slow to compile.

#include "HttpServer.h"

#include "BoundedRing.h"
#include "ConnectionLedger.h"
#include "MeteredSocket.h"
#include "TlsCertificate.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <algorithm>
#include <atomic>
#include <exception>
#include <stdexcept>
#include <thread>
#include <unordered_map>
#include <utility>

namespace lycheeledge {

namespace {

    // Limits of the request line and the header fields, in bytes.
    constexpr std::size_t maxTargetBytes = 8192;
    constexpr std::size_t maxFieldNameBytes = 256;
    constexpr std::size_t maxFieldValueBytes = 8192;
    constexpr std::size_t maxFields = 64;
    // RESTinio closes the connection without a response if a body exceeds its limit. Its limit is therefore larger by
    // this margin: bodies between the two limits are read completely and answered with status 413.
    constexpr std::size_t bodyLimitMargin = 1 << 20;
    // Small, since each idle connection has one.
    constexpr std::size_t readBufferBytes = 4096;
    // Of the kernel's buffers of a connection. The kernel may use twice as much.
    constexpr int socketBufferBytes = 16384;
    constexpr auto timeoutCheckPeriod = std::chrono::milliseconds(250);

    using RequestHandler = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;

    struct Traits : public restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t, RequestHandler,
                        restinio::noop_strand_t, detail::MeteredTcpSocket> { };

    struct TlsTraits : public restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t,
                           RequestHandler, restinio::noop_strand_t, detail::MeteredTlsSocket> { };

    /** @brief Context of the new connections on a server's thread. */
    struct ConnectionContext {
        std::shared_ptr<ConnectionLedger> ledger;
        std::chrono::milliseconds handshakeTimeout {};
    };
    thread_local ConnectionContext connectionContext;

    /** @brief Adds a connection, whose socket does not move from now on, to the ledger. */
    template <typename Socket> void addToLedger(Socket& socket, restinio::connection_id_t id)
    {
        const auto& ledger = connectionContext.ledger;
        // RESTinio closes the connection when its pending operation fails.
        ledger->add(id, std::chrono::steady_clock::now(), [&socket] {
            asio::error_code ignored;
            socket.lowest_layer().shutdown(asio::socket_base::shutdown_both, ignored);
        });
        socket.attach(std::make_unique<detail::Meter>(ledger, id));
    }

    /** @brief Replaces RESTinio's function of the same name; overload resolution prefers the exact socket type. */
    template <typename StartRead, typename Failed>
    void prepare_connection_and_start_read(detail::MeteredTcpSocket& socket, // NOLINT
        restinio::impl::connection_t<Traits>& connection, StartRead startRead, Failed)
    {
        addToLedger(socket, connection.connection_id());
        startRead();
    }

    /**
     * @brief Replaces RESTinio's function of the same name, which has no handshake timeout, so that peers which send
     * nothing would keep their connections open forever. Overload resolution prefers this function because it is more
     * specialized for TlsTraits.
     */
    template <typename StartRead, typename Failed>
    void prepare_connection_and_start_read(detail::MeteredTlsSocket& socket, // NOLINT
        restinio::impl::connection_t<TlsTraits>& connection, StartRead startRead, Failed failed)
    {
        addToLedger(socket, connection.connection_id());
        const auto timer
            = std::make_shared<asio::steady_timer>(socket.get_executor(), connectionContext.handshakeTimeout);
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
            // Joins repeated fields as specified in RFC 9110, section 5.3.
            value = value.empty() ? field.value() : absl::StrCat(value, ", ", field.value());
        });
        result.body = request.body();
        return result;
    }

    using ResponseBuilder = restinio::response_builder_t<restinio::restinio_controlled_output_t>;

    /** @brief A request whose response is not sent yet. It does not keep RESTinio's copy of the body. */
    struct PendingRequest {
        ResponseBuilder builder;
        restinio::connection_id_t connection = 0;
        std::size_t memory = 0; ///< counted by ConnectionLedger::beginRequest()
    };

    void sendResponse(ConnectionLedger& ledger, PendingRequest request, HttpResponse response, bool close)
    {
        ResponseBuilder& builder = request.builder;
        builder.header().status_line({ restinio::http_status_code_t(static_cast<std::uint16_t>(response.status)),
            response.status < 400 ? "OK" : "Error" });
        if (close)
            builder.connection_close();
        for (const auto& [name, value] : response.headers)
            builder.append_header(name, value);
        ledger.beginResponse(request.connection, response.body.capacity(), std::chrono::steady_clock::now());
        builder.set_body(std::move(response.body));
        // Called on the server's thread, before the connection reads its next request.
        builder.done([&ledger, id = request.connection](
                         const asio::error_code&) { ledger.endResponse(id, std::chrono::steady_clock::now()); });
    }

    PendingRequest makePendingRequest(restinio::request_t& request)
    {
        const auto id = request.connection_id();
        return { request.create_response(), id, 0 };
    }

    /** @brief Memory of a converted request, in bytes. Each header field is a node of a map with two strings. */
    std::size_t requestMemory(const HttpRequest& request)
    {
        constexpr std::size_t bytesPerField = 128;
        std::size_t result = sizeof(HttpRequest) + request.target.size() + request.body.size();
        for (const auto& [name, value] : request.headers)
            result += bytesPerField + name.size() + value.size();
        return result;
    }

    HttpResponse busyResponse()
    {
        return { 503, { { "Retry-After", "1" } }, "the server is at capacity; the request was not executed" };
    }

    struct QueuedResponse {
        std::uint64_t requestId = 0;
        HttpResponse response;
    };

    /** @brief State shared by the server's thread and the responders. */
    struct SharedState {
        explicit SharedState(const HttpServerSettings& settings)
            : ledger(std::make_shared<ConnectionLedger>(
                ConnectionLimits { settings.maxRequestMemoryBytes, settings.maxConnections }))
            , responses(settings.maxConnections + 1)
        {
        }

        // Destroyed after the connections, which the context owns.
        std::shared_ptr<ConnectionLedger> ledger; // used only on the server's thread, except counts()

        asio::io_context context { 1 };
        // At most maxConnections requests are in progress, so the queue never becomes full. This includes requests
        // whose connection has been closed.
        BoundedRing<QueuedResponse> responses;
        std::atomic<bool> closeAfterResponse { false };
        // The members below are used only on the server's thread.
        std::unordered_map<std::uint64_t, PendingRequest> pendingRequests; // by request id
        std::uint64_t nextRequestId = 1;

        void sendQueuedResponses()
        {
            while (auto queued = responses.popUntil({})) {
                auto node = pendingRequests.extract(queued->requestId);
                if (node.empty())
                    continue;
                ledger->endRequest(node.mapped().memory);
                try {
                    sendResponse(*ledger, std::move(node.mapped()), std::move(queued->response), closeAfterResponse);
                } catch (const std::exception& ex) {
                    LOG(WARNING) << "[http] Response not sent: " << ex.what();
                }
            }
        }
    };

    /** @brief Sends the response to one request, at most once. Responds with status 500 if destroyed before that. */
    class Responder {
    public:
        Responder(const std::shared_ptr<SharedState>& sharedState, std::uint64_t id)
            : m_sharedState(sharedState)
            , m_requestId(id)
        {
        }
        ~Responder() { respond({ 500, {}, "no response" }); }
        Responder(const Responder&) = delete;
        Responder& operator=(const Responder&) = delete;

        void respond(HttpResponse response)
        {
            if (m_responded.exchange(true))
                return;
            const auto sharedState = m_sharedState.lock();
            if (!sharedState || !sharedState->responses.tryPush({ m_requestId, std::move(response) }))
                return;
            asio::post(sharedState->context, [weak = m_sharedState] {
                if (const auto locked = weak.lock())
                    locked->sendQueuedResponses();
            });
        }

    private:
        std::weak_ptr<SharedState> m_sharedState;
        std::uint64_t m_requestId;
        std::atomic<bool> m_responded { false };
    };

} // namespace

namespace {

    /** @brief Interface of the RESTinio servers with and without TLS. */
    class Listener {
    public:
        virtual ~Listener() = default;

        virtual void open() = 0;
        virtual void close() = 0;
    };

    template <typename ServerTraits> class TypedListener final : public Listener {
    public:
        TypedListener(asio::io_context& context, restinio::server_settings_t<ServerTraits> settings)
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
    Implementation(HttpServerSettings serverSettings, Handler requestHandler)
        : settings(std::move(serverSettings))
        , handler(std::move(requestHandler))
        , certificate(settings.certificatePath, settings.keyPath)
        , sharedState(std::make_shared<SharedState>(settings))
        , ledger(sharedState->ledger)
    {
    }

    bool usesTls() const { return !settings.certificatePath.empty(); }

    /**
     * @brief Responds once the library's request callback has returned. After a response from within it, the library
     * would start to read the next request both at once and after the write, and lose what it has parsed in between.
     */
    void refuse(PendingRequest request, HttpResponse response, bool close)
    {
        asio::post(sharedState->context,
            [ledger = ledger, request = std::move(request), response = std::move(response), close]() mutable {
                try {
                    sendResponse(*ledger, std::move(request), std::move(response), close);
                } catch (const std::exception& ex) {
                    LOG(WARNING) << "[http] Refusal not sent: " << ex.what();
                }
            });
    }

    restinio::request_handling_status_t handle(const restinio::request_handle_t& request)
    {
        if (request->header().connection() == restinio::http_connection_header_t::upgrade)
            return restinio::request_rejected();
        ledger->completed(request->connection_id());
        PendingRequest pending = makePendingRequest(*request);
        if (request->body().size() > settings.maxBodyBytes) {
            ledger->countOversizeBody();
            refuse(std::move(pending), { 413, {}, "request body is too large" }, true);
            return restinio::request_accepted();
        }
        HttpRequest converted = convertRequest(*request);
        pending.memory = requestMemory(converted);
        if (sharedState->pendingRequests.size() >= settings.maxConnections || !ledger->beginRequest(pending.memory)) {
            refuse(std::move(pending), busyResponse(), sharedState->closeAfterResponse);
            return restinio::request_accepted();
        }
        const std::uint64_t id = sharedState->nextRequestId++;
        sharedState->pendingRequests.emplace(id, std::move(pending));
        auto responder = std::make_shared<Responder>(sharedState, id);
        const Respond respond = [responder](HttpResponse response) { responder->respond(std::move(response)); };
        try {
            handler(std::move(converted), respond);
        } catch (const std::exception& ex) {
            LOG(ERROR) << "[http] Handler failed: " << ex.what();
            responder->respond({ 500, {}, "internal error" });
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
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t {}
                                          .max_url_size(maxTargetBytes)
                                          .max_field_name_size(maxFieldNameBytes)
                                          .max_field_value_size(maxFieldValueBytes)
                                          .max_field_count(maxFields)
                                          .max_body_size(settings.maxBodyBytes
                                              + std::min(bodyLimitMargin, settings.maxRequestMemoryBytes / 16)))
            .acceptor_post_bind_hook([&port](asio::ip::tcp::acceptor& acceptor) {
                port = acceptor.local_endpoint().port();
                // Accepted connections inherit the sizes, which thus also apply before they are accepted.
                acceptor.set_option(asio::socket_base::receive_buffer_size(socketBufferBytes));
                acceptor.set_option(asio::socket_base::send_buffer_size(socketBufferBytes));
            })
            // RESTinio's own connection limiter leaks a slot whenever a peer resets its connection before it is
            // accepted. The limit is therefore enforced here: the exception closes the new socket.
            .socket_options_setter([ledger = ledger](auto& options) {
                if (!ledger->admit(std::chrono::steady_clock::now()))
                    throw std::runtime_error("too many connections");
                options.set_option(asio::ip::tcp::no_delay(true));
            })
            .request_handler([this](const restinio::request_handle_t& request) { return handle(request); });
        return result;
    }

    /** @brief Creates the server and binds it. @return the port. Exceptions of RESTinio and Asio are passed on. */
    std::uint16_t open()
    {
        std::uint16_t port = 0;
        if (usesTls()) {
            auto context = std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
            certificate.install(context->native_handle());
            auto serverSettings = makeServerSettings<TlsTraits>(port);
            serverSettings.tls_context(std::move(context));
            listener = std::make_unique<TypedListener<TlsTraits>>(sharedState->context, std::move(serverSettings));
        } else {
            listener = std::make_unique<TypedListener<Traits>>(sharedState->context, makeServerSettings<Traits>(port));
        }
        listener->open();
        return port;
    }

    HttpServerSettings settings;
    Handler handler;
    TlsCertificate certificate;
    std::shared_ptr<SharedState> sharedState;
    std::shared_ptr<ConnectionLedger> ledger; // used only on the server's thread, except counts()
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
    if (!impl.sharedState)
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
    impl.thread = std::thread([sharedState = impl.sharedState, timeout = impl.settings.readTimeout] {
        connectionContext = { sharedState->ledger, timeout };
        const auto guard = asio::make_work_guard(sharedState->context);
        sharedState->context.run();
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
    if (impl.sharedState)
        impl.sharedState->closeAfterResponse = true;
}

void HttpServer::stopAccepting()
{
    auto& impl = *m_implementation;
    if (!impl.thread.joinable())
        return;
    closeAfterResponses();
    asio::post(impl.sharedState->context, [listener = impl.listener.get()] { listener->close(); });
}

void HttpServer::stop()
{
    auto& impl = *m_implementation;
    if (!impl.thread.joinable())
        return;
    impl.sharedState->responses.close();
    impl.sharedState->context.stop();
    impl.thread.join();
    impl.sharedState->pendingRequests.clear();
    impl.listener.reset();
    // Pending operations of the I/O context own the connections, which are closed when it is destroyed.
    impl.sharedState.reset();
}

RefusalCounts HttpServer::refusalCounts() const { return m_implementation->ledger->counts(); }

} // namespace lycheeledge
