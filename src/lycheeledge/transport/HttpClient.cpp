// HTTP client based on libcurl.

#include "HttpClient.h"

#include "BoundedRing.h"
#include "CurlReactor.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>
#include <curl/curl.h>
#include <glog/logging.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lycheeledge {

namespace {

    constexpr std::size_t maxHeaderBytes = 64 << 10;
    // Large enough to keep a connection open to every worker of a cell.
    constexpr std::size_t maxIdleConnections = 8192;

    struct Call {
        HttpRequest request;
        std::chrono::steady_clock::time_point deadline;
        HttpClient::Done done;
    };

    /** @brief A call in progress. Its address must not change while curl holds a pointer to it. */
    struct Transfer {
        Call call;
        std::size_t maxResponseBytes = 0;
        std::size_t bodySent = 0;
        std::size_t headerBytes = 0;
        bool headersComplete = false;
        bool lengthKnown = false;
        bool tooLarge = false;
        HttpResponse response;
        curl_slist* headers = nullptr;
        char error[CURL_ERROR_SIZE] = {};

        ~Transfer() { curl_slist_free_all(headers); }
        Transfer() = default;
        Transfer(const Transfer&) = delete;
        Transfer& operator=(const Transfer&) = delete;
    };

    std::size_t readBody(char* buf, std::size_t size, std::size_t count, void* data)
    {
        auto& transfer = *static_cast<Transfer*>(data);
        const std::string& body = transfer.call.request.body;
        const std::size_t n = std::min(size * count, body.size() - transfer.bodySent);
        body.copy(buf, n, transfer.bodySent);
        transfer.bodySent += n;
        return n;
    }

    // By default, curl resends a request if a reused connection closes before the response arrives, which could
    // execute a write twice. If the request body cannot be rewound, curl reports the failure instead.
    int rejectRewind(void* /*data*/, curl_off_t /*offset*/, int /*origin*/) { return CURL_SEEKFUNC_FAIL; }

    std::size_t writeBody(char* buf, std::size_t size, std::size_t count, void* data)
    {
        auto& transfer = *static_cast<Transfer*>(data);
        const std::size_t n = size * count;
        if (transfer.response.body.size() + n > transfer.maxResponseBytes) {
            transfer.tooLarge = true;
            return 0;
        }
        transfer.response.body.append(buf, n);
        return n;
    }

    std::size_t writeHeader(char* buf, std::size_t size, std::size_t count, void* data)
    {
        auto& transfer = *static_cast<Transfer*>(data);
        const std::size_t n = size * count;
        transfer.headerBytes += n;
        if (transfer.headerBytes > maxHeaderBytes) {
            transfer.tooLarge = true;
            return 0;
        }
        const absl::string_view line(buf, n);
        if (line.substr(0, 5) == "HTTP/") {
            // Start of a response; an interim response (1xx) may have come before it.
            transfer.response.headers.clear();
            transfer.headersComplete = false;
            transfer.lengthKnown = false;
            return n;
        }
        const absl::string_view text = absl::StripAsciiWhitespace(line);
        if (text.empty()) {
            transfer.headersComplete = true;
            return n;
        }
        const std::size_t colon = text.find(':');
        if (colon == absl::string_view::npos)
            return n;
        std::string name = absl::AsciiStrToLower(text.substr(0, colon));
        if (name == "content-length" || name == "transfer-encoding")
            transfer.lengthKnown = true;
        transfer.response.headers[std::move(name)] = std::string(absl::StripAsciiWhitespace(text.substr(colon + 1)));
        return n;
    }

    /** @brief Whether the request cannot have reached the server. */
    bool isNotSent(CURLcode code, CURL* easy, const Transfer& transfer)
    {
        long sent = 0;
        curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
        // If a reused connection is lost after the request was sent on it, curl opens a new one before it tries to
        // rewind the body. The error of that attempt says nothing about the request.
        if (sent > 0 || transfer.bodySent > 0)
            return false;
        switch (code) {
        case CURLE_COULDNT_RESOLVE_HOST:
        case CURLE_COULDNT_CONNECT:
        case CURLE_SSL_CONNECT_ERROR:
        case CURLE_PEER_FAILED_VERIFICATION:
        case CURLE_URL_MALFORMAT:
        case CURLE_UNSUPPORTED_PROTOCOL:
            return true;
        default:
            break;
        }
        curl_off_t pretransfer = 0;
        curl_easy_getinfo(easy, CURLINFO_PRETRANSFER_TIME_T, &pretransfer);
        // Covers timeouts while the connection is being established.
        return code != CURLE_OK && pretransfer == 0;
    }

    absl::Status checkComplete(const Transfer& transfer)
    {
        if (!transfer.headersComplete)
            return absl::DataLossError("the response header is incomplete");
        const int status = transfer.response.status;
        const bool hasBody = transfer.call.request.method != "HEAD" && status >= 200 && status != 204 && status != 304;
        // Without a declared length, the end of the body cannot be distinguished from a broken connection.
        if (hasBody && !transfer.lengthKnown)
            return absl::DataLossError("the response has no length");
        return absl::OkStatus();
    }

    absl::Status toStatus(CURLcode code, const Transfer& transfer)
    {
        const std::string text = absl::StrCat(
            transfer.call.request.target, ": ", transfer.error[0] != 0 ? transfer.error : curl_easy_strerror(code));
        if (transfer.tooLarge)
            return absl::ResourceExhaustedError(absl::StrCat(transfer.call.request.target, ": response is too large"));
        switch (code) {
        case CURLE_OK:
            return checkComplete(transfer);
        case CURLE_OPERATION_TIMEDOUT:
            return absl::DeadlineExceededError(text);
        case CURLE_FILESIZE_EXCEEDED:
            return absl::ResourceExhaustedError(text);
        case CURLE_PARTIAL_FILE:
            return absl::DataLossError(text);
        default:
            return absl::UnavailableError(text);
        }
    }

    void failNotSent(Call& call, absl::Status status)
    {
        HttpResult result;
        result.status = std::move(status);
        result.notSent = true;
        call.done(std::move(result));
    }

    void initializeCurl()
    {
        static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
        CHECK_EQ(code, CURLE_OK) << "[http] curl_global_init failed.";
    }

} // namespace

struct HttpClient::Implementation {
    explicit Implementation(HttpClientSettings initialSettings)
        : settings(std::move(initialSettings))
        , waitingCalls(settings.maxWaiting)
    {
        initializeCurl();
        reactor = std::make_unique<CurlReactor>();
        CURLM* multi = reactor->multi();
        curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(settings.maxConnectionsPerHost));
        curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, static_cast<long>(maxIdleConnections));
        curl_multi_setopt(multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
        thread = std::thread([this] { run(); });
    }

    ~Implementation()
    {
        waitingCalls.close();
        stopped = true;
        reactor->wakeUp();
        thread.join();
        for (auto& [easy, transfer] : transfers) {
            curl_multi_remove_handle(reactor->multi(), easy);
            completeTransfer(easy, *transfer, absl::CancelledError("the client is closing"), false);
            curl_easy_cleanup(easy);
        }
        for (CURL* easy : idleHandles)
            curl_easy_cleanup(easy);
        reactor.reset();
        while (auto call = waitingCalls.popUntil({}))
            failNotSent(*call, absl::CancelledError("the client is closing"));
    }

    void run()
    {
        while (!stopped) {
            while (auto call = waitingCalls.popUntil({}))
                startTransfer(std::move(*call));
            reactor->runOnce();
            processCompletedTransfers();
        }
    }

    void startTransfer(Call call)
    {
        const auto remaining
            = std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - std::chrono::steady_clock::now());
        if (remaining.count() <= 0) {
            failNotSent(call, absl::DeadlineExceededError("timeout before the call was started"));
            return;
        }
        CURL* easy = acquireHandle();
        auto transfer = std::make_unique<Transfer>();
        transfer->call = std::move(call);
        transfer->maxResponseBytes = settings.maxResponseBytes;
        configure(easy, *transfer, remaining);
        curl_multi_add_handle(reactor->multi(), easy);
        transfers.emplace(easy, std::move(transfer));
    }

    CURL* acquireHandle()
    {
        if (idleHandles.empty()) {
            CURL* easy = curl_easy_init();
            CHECK(easy != nullptr) << "[http] curl_easy_init failed.";
            return easy;
        }
        CURL* easy = idleHandles.back();
        idleHandles.pop_back();
        return easy;
    }

    void configure(CURL* easy, Transfer& transfer, std::chrono::milliseconds timeout) const
    {
        const HttpRequest& request = transfer.call.request;
        curl_easy_setopt(easy, CURLOPT_URL, request.target.c_str());
        curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        // Without it, the end of a call waits for its name look-up, and so do all other calls.
        curl_easy_setopt(easy, CURLOPT_QUICK_EXIT, 1L);
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
        curl_easy_setopt(
            easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(std::min(timeout, settings.connectTimeout).count()));
        curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, static_cast<long>(settings.maxIdleTime.count()));
        if (!settings.caPath.empty())
            curl_easy_setopt(easy, CURLOPT_CAINFO, settings.caPath.c_str());
        curl_easy_setopt(easy, CURLOPT_MAXFILESIZE_LARGE, static_cast<curl_off_t>(settings.maxResponseBytes));
        curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, transfer.error);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &writeBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &writeHeader);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
        if (request.method == "HEAD")
            curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        else if (request.method != "GET")
            configureBody(easy, transfer);
        for (const auto& [name, value] : request.headers)
            transfer.headers = curl_slist_append(transfer.headers, absl::StrCat(name, ": ", value).c_str());
        // The server does not answer "100 Continue"; curl would wait a second for it.
        transfer.headers = curl_slist_append(transfer.headers, "Expect:");
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers);
    }

    static void configureBody(CURL* easy, Transfer& transfer)
    {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        if (transfer.call.request.method != "POST")
            curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, transfer.call.request.method.c_str());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(transfer.call.request.body.size()));
        curl_easy_setopt(easy, CURLOPT_READFUNCTION, &readBody);
        curl_easy_setopt(easy, CURLOPT_READDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_SEEKFUNCTION, &rejectRewind);
        // Without a body there is nothing to rewind, so only a new connection prevents curl from resending the request.
        if (transfer.call.request.body.empty())
            curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    }

    void processCompletedTransfers()
    {
        int messagesLeft = 0;
        while (const CURLMsg* message = curl_multi_info_read(reactor->multi(), &messagesLeft)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            CURL* easy = message->easy_handle;
            const CURLcode code = message->data.result;
            const auto node = transfers.extract(easy);
            Transfer& transfer = *node.mapped();
            long status = 0;
            curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
            transfer.response.status = static_cast<int>(status);
            const bool notSent = isNotSent(code, easy, transfer);
            curl_multi_remove_handle(reactor->multi(), easy);
            completeTransfer(easy, transfer, toStatus(code, transfer), notSent);
            curl_easy_reset(easy);
            idleHandles.push_back(easy);
        }
    }

    static void completeTransfer(CURL* /*easy*/, Transfer& transfer, absl::Status status, bool notSent)
    {
        HttpResult result;
        result.status = std::move(status);
        result.notSent = notSent;
        if (result.status.ok())
            result.response = std::move(transfer.response);
        transfer.call.done(std::move(result));
    }

    HttpClientSettings settings;
    BoundedRing<Call> waitingCalls;
    std::unique_ptr<CurlReactor> reactor;
    std::atomic<bool> stopped { false };
    // Used only on the client's thread, and by the destructor after that thread has ended.
    std::unordered_map<CURL*, std::unique_ptr<Transfer>> transfers;
    std::vector<CURL*> idleHandles;
    std::thread thread;
};

HttpClient::HttpClient(HttpClientSettings settings)
    : m_implementation(std::make_unique<Implementation>(std::move(settings)))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::send(HttpRequest request, std::chrono::milliseconds timeout, Done done)
{
    auto& impl = *m_implementation;
    Call call { std::move(request), std::chrono::steady_clock::now() + timeout, done };
    if (!impl.waitingCalls.tryPush(std::move(call))) {
        HttpResult result;
        result.status = impl.stopped ? absl::CancelledError("the client is closing")
                                     : absl::ResourceExhaustedError("too many calls are waiting");
        result.notSent = true;
        done(std::move(result));
        return;
    }
    impl.reactor->wakeUp();
}

} // namespace lycheeledge
