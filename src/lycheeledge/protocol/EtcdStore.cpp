// Store implementation that uses the JSON gateway of etcd v3.

#include "EtcdStore.h"

#include "EtcdCodec.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <utility>

namespace lycheeledge {

namespace {

    constexpr std::size_t maxValueBytes = 1 << 20;
    // gRPC status codes, as etcd returns them in the body of an error response.
    constexpr int grpcInvalidArgument = 3;
    constexpr int grpcNotFound = 5;
    constexpr int grpcResourceExhausted = 8;

    /** @brief Maps a transport error (no complete response received) to a status. */
    absl::Status transportErrorStatus(const HttpResult& result, bool write)
    {
        const std::string text = absl::StrCat("store: ", result.status.message());
        if (result.notSent)
            return absl::UnavailableError(text);
        if (absl::IsDeadlineExceeded(result.status))
            return absl::DeadlineExceededError(text);
        return write ? absl::UnknownError(text) : absl::UnavailableError(text);
    }

    bool isTooLarge(int httpStatus, const EtcdError& error)
    {
        return httpStatus == 413 || absl::StrContains(error.message, "too large")
            || absl::StrContains(error.message, "larger than max");
    }

    /** @brief Maps an error response of the store to a status. */
    absl::Status errorResponseStatus(const HttpResponse& response, bool write)
    {
        const EtcdError error = decodeEtcdError(response.body);
        const std::string text = absl::StrCat("store answered ", response.status, ": ", error.message);
        if (isTooLarge(response.status, error))
            return absl::ResourceExhaustedError(text);
        if (error.code == grpcNotFound)
            return absl::NotFoundError(text);
        if (error.code == grpcInvalidArgument)
            return absl::InvalidArgumentError(text);
        // The store rejects calls over its rate limit before it proposes them to Raft, so they have no effect.
        if (error.code == grpcResourceExhausted || response.status == 429)
            return absl::UnavailableError(text);
        // 5xx responses include timeouts after which the change may still be applied.
        const bool noEffect = !write || (response.status >= 400 && response.status < 500);
        return noEffect ? absl::UnavailableError(text) : absl::UnknownError(text);
    }

    template <typename T, typename Decode>
    absl::StatusOr<T> decodeResult(const HttpResult& result, bool write, const Decode& decode)
    {
        if (!result.status.ok())
            return transportErrorStatus(result, write);
        if (result.response.status != 200)
            return errorResponseStatus(result.response, write);
        absl::StatusOr<T> decoded = decode(result.response.body);
        if (absl::IsInvalidArgument(decoded.status())) {
            const std::string text = absl::StrCat("store: ", decoded.status().message());
            return write ? absl::UnknownError(text) : absl::UnavailableError(text);
        }
        return decoded;
    }

} // namespace

EtcdStore::EtcdStore(HttpClient& client, CompletionExecutor& executor, EtcdStoreSettings settings)
    : m_client(client)
    , m_executor(executor)
    , m_settings(std::move(settings))
{
}

template <typename T, typename Decode>
void EtcdStore::call(const char* path, std::string body, bool write, Decode decode, Callback<T> done)
{
    HttpRequest request;
    request.method = "POST";
    request.target = m_settings.baseUrl + path;
    request.headers["content-type"] = "application/json";
    if (!m_settings.clientName.empty())
        request.headers["x-client"] = m_settings.clientName;
    request.body = std::move(body);
    m_client.send(std::move(request), write ? m_settings.writeTimeout : m_settings.readTimeout,
        [&executor = m_executor, write, decode = std::move(decode), done = std::move(done)](HttpResult result) {
            executor.execute(
                [done, decoded = decodeResult<T>(result, write, decode)]() mutable { done(std::move(decoded)); });
        });
}

void EtcdStore::read(std::vector<StoreRange> ranges, Callback<StoreSnapshot> done)
{
    if (ranges.size() == 1) {
        call<StoreSnapshot>("/v3/kv/range", encodeRange(ranges.front()), false, &decodeRange, std::move(done));
        return;
    }
    const std::size_t count = ranges.size();
    call<StoreSnapshot>(
        "/v3/kv/txn", encodeReadTransaction(ranges), false,
        [count](const std::string& body) { return decodeReadTransaction(body, count); }, std::move(done));
}

void EtcdStore::commit(StoreTransaction transaction, Callback<StoreCommit> done)
{
    for (const auto& put : transaction.puts) {
        if (put.value.size() <= maxValueBytes)
            continue;
        m_executor.execute([done = std::move(done), key = put.key] {
            done(absl::ResourceExhaustedError(absl::StrCat("store: value of key \"", key, "\" is over 1 MB")));
        });
        return;
    }
    call<StoreCommit>("/v3/kv/txn", encodeTransaction(transaction), true, &decodeTransaction, std::move(done));
}

void EtcdStore::grantLease(Duration timeToLive, Callback<StoreLeaseId> done)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(timeToLive).count();
    call<StoreLeaseId>("/v3/lease/grant", encodeLeaseGrant(seconds), true, &decodeLeaseGrant, std::move(done));
}

void EtcdStore::renewLease(StoreLeaseId lease, Callback<Duration> done)
{
    const auto decode = [](const std::string& body) -> absl::StatusOr<Duration> {
        absl::StatusOr<Duration> remaining = decodeKeepAlive(body);
        if (remaining.ok() && *remaining == Duration::zero())
            return absl::NotFoundError("store: the lease has ended");
        return remaining;
    };
    call<Duration>("/v3/lease/keepalive", encodeLeaseId(lease), true, decode, std::move(done));
}

void EtcdStore::revokeLease(StoreLeaseId lease, std::function<void(absl::Status)> done)
{
    const auto decode = [](const std::string& /*body*/) -> absl::StatusOr<bool> { return true; };
    call<bool>("/v3/lease/revoke", encodeLeaseId(lease), true, decode,
        [done = std::move(done)](absl::StatusOr<bool> result) { done(result.status()); });
}

} // namespace lycheeledge
