// Store implementation that uses the JSON gateway of etcd v3.
#pragma once

#include "../coordination/Store.h"
#include "../transport/HttpClient.h"
#include "CompletionExecutor.h"

#include <chrono>
#include <functional>
#include <string>

namespace lycheeledge {

struct EtcdStoreSettings {
    std::string baseUrl; ///< for example `http://127.0.0.1:2379`
    std::string clientName; ///< sent as `x-client`; the platform counts calls per client name
    std::chrono::milliseconds readTimeout { 2000 };
    std::chrono::milliseconds writeTimeout { 2000 };

    bool operator==(const EtcdStoreSettings&) const = default;
};

/**
 * @brief Implements Store with calls to `/v3/kv/range`, `/v3/kv/txn` and `/v3/lease/...`.
 *
 * Reads are linearizable, because a member relies on a read to conclude that its configuration is current. `client`
 * and `executor` must outlive this object, and `executor` must outlive `client`.
 */
class EtcdStore final : public Store {
public:
    EtcdStore(HttpClient& client, CompletionExecutor& executor, EtcdStoreSettings settings);

    void read(std::vector<StoreRange> ranges, Callback<StoreSnapshot> done) override;
    /** @brief See Store. Errors in addition: `INVALID_ARGUMENT` if the store rejects the transaction. */
    void commit(StoreTransaction transaction, Callback<StoreCommit> done) override;
    void grantLease(Duration timeToLive, Callback<StoreLeaseId> done) override;
    void renewLease(StoreLeaseId lease, Callback<Duration> done) override;
    void revokeLease(StoreLeaseId lease, std::function<void(absl::Status)> done) override;

private:
    template <typename T, typename Decode>
    void call(const char* path, std::string body, bool write, Decode decode, Callback<T> done);

    HttpClient& m_client;
    CompletionExecutor& m_executor;
    EtcdStoreSettings m_settings;
};

} // namespace lycheeledge
