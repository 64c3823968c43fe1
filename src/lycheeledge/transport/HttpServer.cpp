// HTTP server based on RESTinio. RESTinio is included only here because it compiles slowly.

#include "HttpServer.h"

#include "BoundedRing.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <glog/logging.h>
#include <restinio/all.hpp>

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

    struct Traits : public restinio::single_thread_traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t,
                        std::function<restinio::request_handling_status_t(restinio::request_handle_t)>> {
        using connection_state_listener_t = ConnectionCounter; // NOLINT
    };

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

struct HttpServer::Implementation {
    using Server = restinio::http_server_t<Traits>;

    Implementation(HttpServerSettings given, Handler callback)
        : settings(std::move(given))
        , handler(std::move(callback))
        , core(std::make_shared<Core>(settings.maxConnections))
    {
    }

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

    restinio::server_settings_t<Traits> makeServerSettings(std::uint16_t& boundPort)
    {
        restinio::server_settings_t<Traits> result;
        const auto counter = std::make_shared<ConnectionCounter>();
        const std::size_t limit = settings.maxConnections;
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
                [&boundPort](asio::ip::tcp::acceptor& acceptor) { boundPort = acceptor.local_endpoint().port(); })
            // RESTinio's own connection limiter loses a slot whenever a peer resets before it was accepted, so the
            // limit is enforced here: the exception closes the new socket.
            .socket_options_setter([counter, limit](restinio::socket_options_t& options) {
                if (counter->count() >= limit)
                    throw std::runtime_error("too many connections");
                options.set_option(asio::ip::tcp::no_delay(true));
            })
            .request_handler([this](const restinio::request_handle_t& request) { return handle(request); });
        return result;
    }

    HttpServerSettings settings;
    Handler handler;
    std::shared_ptr<Core> core;
    std::unique_ptr<Server> server;
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
    std::uint16_t port = 0;
    try {
        impl.server = std::make_unique<Implementation::Server>(
            restinio::external_io_context(impl.core->context), impl.makeServerSettings(port));
        impl.server->open_sync();
    } catch (const std::exception& ex) {
        impl.server.reset();
        return absl::UnavailableError(
            absl::StrCat("cannot listen on ", impl.settings.address, ":", impl.settings.port, ": ", ex.what()));
    }
    impl.thread = std::thread([core = impl.core] {
        const auto guard = asio::make_work_guard(core->context);
        core->context.run();
    });
    return port;
}

void HttpServer::stopAccepting()
{
    auto& impl = *m_implementation;
    // From now on every response closes its connection, so that kept-alive clients go elsewhere.
    if (!impl.thread.joinable())
        return;
    impl.core->closing = true;
    asio::post(impl.core->context, [server = impl.server.get()] { server->close_sync(); });
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
    impl.server.reset();
    // The connections are owned by operations of the I/O context and close with it.
    impl.core.reset();
}

} // namespace lycheeledge
