// State machine of the platform's key-value store, without I/O. Times are passed in.
#pragma once

#include <lycheeledge/coordination/Store.h>

#include <absl/status/status.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lycheeledge::standin {

/** @brief Key-value store with revisions, transactions and leases. */
class StoreModel {
public:
    struct Record {
        std::string value;
        Revision createRevision = 0;
        Revision modRevision = 0;
        std::int64_t version = 0;
        StoreLeaseId lease = 0; ///< 0 for none
    };
    using Entry = std::pair<std::string, Record>;

    /** @brief Keys from `first` to `end`: an empty end means the single key, "\0" means no end. */
    struct Range {
        std::string first;
        std::string end;
        Revision minModRevision = 0;
    };

    enum class CompareTarget { Mod, Create, Version, Value, Lease };
    enum class CompareResult { Equal, NotEqual, Greater, Less };
    struct Compare {
        std::string key;
        CompareTarget target = CompareTarget::Mod;
        CompareResult result = CompareResult::Equal;
        std::int64_t number = 0;
        std::string value;
    };

    struct Operation {
        enum class Kind { Range, Put, Erase } kind = Kind::Range;
        Range range; ///< for Range and Erase
        std::string key;
        std::string value;
        StoreLeaseId lease = 0;
    };
    struct OperationResult {
        Operation::Kind kind = Operation::Kind::Range;
        std::vector<Entry> entries;
        std::int64_t erased = 0;
    };
    struct Transaction {
        std::vector<Compare> compares;
        std::vector<Operation> success;
        std::vector<Operation> failure;
    };

    static constexpr std::size_t maxValueBytes = 1 << 20;
    static constexpr std::size_t maxOperations = 128;

    Revision revision() const { return m_revision; }

    std::vector<Entry> range(const Range& range) const
    {
        std::vector<Entry> result;
        for (auto it = m_records.lower_bound(range.first); it != m_records.end() && contains(range, it->first); ++it) {
            if (it->second.modRevision >= range.minModRevision)
                result.emplace_back(*it);
        }
        return result;
    }

    /** @brief Runs a transaction. Errors: `INVALID_ARGUMENT`, `NOT_FOUND` for an ended lease; nothing is changed then.
     */
    absl::Status run(const Transaction& transaction, bool& succeeded, std::vector<OperationResult>& results)
    {
        succeeded = true;
        for (const auto& compare : transaction.compares)
            succeeded = succeeded && holds(compare);
        const auto& operations = succeeded ? transaction.success : transaction.failure;
        if (absl::Status status = check(transaction, operations); !status.ok())
            return status;
        bool changed = false;
        const Revision next = m_revision + 1;
        for (const auto& operation : operations)
            results.push_back(apply(operation, next, changed));
        if (changed)
            m_revision = next;
        return absl::OkStatus();
    }

    /** @param id of the lease; 0 lets the store choose it. @return the id, or 0 if it is in use. */
    StoreLeaseId grant(TimePoint now, std::int64_t seconds, StoreLeaseId id = 0)
    {
        if (id == 0)
            id = m_nextLease++;
        if (m_leases.count(id) > 0)
            return 0;
        m_leases[id] = { seconds, now + std::chrono::seconds(seconds), {} };
        return id;
    }

    /** @return the remaining seconds; 0 if the lease has ended. */
    std::int64_t keepAlive(TimePoint now, StoreLeaseId id)
    {
        const auto it = m_leases.find(id);
        if (it == m_leases.end())
            return 0;
        it->second.expiry = now + std::chrono::seconds(it->second.seconds);
        return it->second.seconds;
    }

    /** @brief Ends a lease. @return false if it does not exist. */
    bool revoke(StoreLeaseId id)
    {
        const auto node = m_leases.extract(id);
        if (node.empty())
            return false;
        const auto& keys = node.mapped().keys;
        if (!keys.empty())
            ++m_revision;
        for (const auto& key : keys)
            m_records.erase(key);
        return true;
    }

    /** @brief Ends the leases whose time is over. */
    void advance(TimePoint now)
    {
        std::vector<StoreLeaseId> ended;
        for (const auto& [id, lease] : m_leases) {
            if (lease.expiry <= now)
                ended.push_back(id);
        }
        for (const StoreLeaseId id : ended)
            revoke(id);
    }

    void revokeAll()
    {
        while (!m_leases.empty())
            revoke(m_leases.begin()->first);
    }

private:
    struct Lease {
        std::int64_t seconds = 0;
        TimePoint expiry;
        std::set<std::string> keys;
    };

    static bool contains(const Range& range, const std::string& key)
    {
        if (range.end.empty())
            return key == range.first;
        return range.end == std::string(1, '\0') || key < range.end;
    }

    template <typename T> static bool compareValues(CompareResult result, const T& actual, const T& expected)
    {
        switch (result) {
        case CompareResult::Equal:
            return actual == expected;
        case CompareResult::NotEqual:
            return actual != expected;
        case CompareResult::Greater:
            return actual > expected;
        case CompareResult::Less:
            return actual < expected;
        }
        return false;
    }

    bool holds(const Compare& compare) const
    {
        const auto it = m_records.find(compare.key);
        const bool exists = it != m_records.end();
        const Record record = exists ? it->second : Record {};
        switch (compare.target) {
        case CompareTarget::Mod:
            return compareValues(compare.result, record.modRevision, compare.number);
        case CompareTarget::Create:
            return compareValues(compare.result, record.createRevision, compare.number);
        case CompareTarget::Version:
            return compareValues(compare.result, record.version, compare.number);
        case CompareTarget::Lease:
            return compareValues(compare.result, record.lease, compare.number);
        case CompareTarget::Value:
            return exists && compareValues(compare.result, record.value, compare.value);
        }
        return false;
    }

    absl::Status check(const Transaction& transaction, const std::vector<Operation>& operations) const
    {
        if (transaction.compares.size() > maxOperations || transaction.success.size() > maxOperations
            || transaction.failure.size() > maxOperations)
            return absl::InvalidArgumentError("etcdserver: too many operations in txn request");
        std::set<std::string> written;
        for (const auto& operation : operations) {
            if (operation.kind != Operation::Kind::Put)
                continue;
            if (operation.key.empty())
                return absl::InvalidArgumentError("etcdserver: key is not provided");
            if (operation.value.size() > maxValueBytes)
                return absl::InvalidArgumentError("etcdserver: request is too large");
            if (!written.insert(operation.key).second)
                return absl::InvalidArgumentError("etcdserver: duplicate key given in txn request");
            if (operation.lease != 0 && m_leases.count(operation.lease) == 0)
                return absl::NotFoundError("etcdserver: requested lease not found");
        }
        for (const auto& operation : operations) {
            if (operation.kind != Operation::Kind::Erase)
                continue;
            for (const auto& key : written) {
                if (key >= operation.range.first && contains(operation.range, key))
                    return absl::InvalidArgumentError("etcdserver: duplicate key given in txn request");
            }
        }
        return absl::OkStatus();
    }

    OperationResult apply(const Operation& operation, Revision next, bool& changed)
    {
        OperationResult result;
        result.kind = operation.kind;
        if (operation.kind == Operation::Kind::Range)
            result.entries = range(operation.range);
        else if (operation.kind == Operation::Kind::Put) {
            put(operation, next);
            changed = true;
        } else {
            for (const auto& [key, record] : range(operation.range)) {
                detach(key, record.lease);
                m_records.erase(key);
                ++result.erased;
                changed = true;
            }
        }
        return result;
    }

    void put(const Operation& operation, Revision next)
    {
        Record& record = m_records[operation.key];
        detach(operation.key, record.lease);
        record.value = operation.value;
        if (record.version == 0)
            record.createRevision = next;
        record.modRevision = next;
        ++record.version;
        record.lease = operation.lease;
        if (operation.lease != 0)
            m_leases[operation.lease].keys.insert(operation.key);
    }

    void detach(const std::string& key, StoreLeaseId id)
    {
        const auto it = m_leases.find(id);
        if (it != m_leases.end())
            it->second.keys.erase(key);
    }

    std::map<std::string, Record> m_records;
    std::map<StoreLeaseId, Lease> m_leases;
    Revision m_revision = 1;
    StoreLeaseId m_nextLease = 7587000000000000001;
};

} // namespace lycheeledge::standin
