// State machine of the platform's key-value store, without I/O. The caller passes in the time.
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
        std::int64_t version = 0; ///< number of writes since the key was created
        StoreLeaseId lease = 0; ///< 0 for none
    };
    using Entry = std::pair<std::string, Record>;

    /** @brief Keys from `first` up to, not including, `end`. An empty end selects only `first`; "\0" means no end. */
    struct Range {
        std::string first;
        std::string end;
        Revision minModRevision = 0; ///< records with a lower revision are left out
    };

    enum class CompareTarget { Mod, Create, Version, Value, Lease };
    enum class CompareResult { Equal, NotEqual, Greater, Less };
    struct Compare {
        std::string key;
        CompareTarget target = CompareTarget::Mod;
        CompareResult result = CompareResult::Equal;
        std::int64_t number = 0; ///< operand for all targets but Value
        std::string value; ///< operand for Value
    };

    struct Operation {
        enum class Kind { Range, Put, Erase } kind = Kind::Range;
        Range range; ///< for Range and Erase
        std::string key; ///< for Put, like the following
        std::string value;
        StoreLeaseId lease = 0;
    };
    struct OperationResult {
        Operation::Kind kind = Operation::Kind::Range;
        std::vector<Entry> entries; ///< of a Range
        std::int64_t erased = 0; ///< number of records removed by an Erase
    };
    struct Transaction {
        std::vector<Compare> compares;
        std::vector<Operation> success; ///< run if all comparisons hold
        std::vector<Operation> failure; ///< run otherwise
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

    /** @brief Runs a transaction. Errors, without effect: `INVALID_ARGUMENT`; `NOT_FOUND` for an ended lease. */
    absl::Status run(const Transaction& transaction, bool& succeeded, std::vector<OperationResult>& results)
    {
        succeeded = true;
        for (const auto& compare : transaction.compares)
            succeeded = succeeded && holds(compare);
        const auto& operations = succeeded ? transaction.success : transaction.failure;
        if (absl::Status status = validate(transaction, operations); !status.ok())
            return status;
        bool changed = false;
        const Revision nextRevision = m_revision + 1;
        for (const auto& operation : operations)
            results.push_back(apply(operation, nextRevision, changed));
        if (changed)
            m_revision = nextRevision;
        return absl::OkStatus();
    }

    /** @param id id of the lease; 0 lets the store choose it. @return the id, or 0 if it is in use. */
    StoreLeaseId grant(TimePoint now, std::int64_t seconds, StoreLeaseId id = 0)
    {
        if (id == 0)
            id = m_nextLease++;
        if (m_leases.count(id) > 0)
            return 0;
        m_leases[id] = { seconds, now + std::chrono::seconds(seconds), {} };
        return id;
    }

    /** @brief Renews a lease. @return the remaining seconds; 0 if the lease has ended. */
    std::int64_t keepAlive(TimePoint now, StoreLeaseId id)
    {
        const auto it = m_leases.find(id);
        if (it == m_leases.end())
            return 0;
        it->second.expiry = now + std::chrono::seconds(it->second.seconds);
        return it->second.seconds;
    }

    /** @brief Ends a lease and removes its keys. @return false if the lease does not exist. */
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

    /** @brief Revokes the leases that have expired. */
    void advance(TimePoint now)
    {
        std::vector<StoreLeaseId> expired;
        for (const auto& [id, lease] : m_leases) {
            if (lease.expiry <= now)
                expired.push_back(id);
        }
        for (const StoreLeaseId id : expired)
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

    absl::Status validate(const Transaction& transaction, const std::vector<Operation>& operations) const
    {
        if (transaction.compares.size() > maxOperations || transaction.success.size() > maxOperations
            || transaction.failure.size() > maxOperations)
            return absl::InvalidArgumentError("etcdserver: too many operations in txn request");
        std::set<std::string> writtenKeys;
        for (const auto& operation : operations) {
            if (operation.kind != Operation::Kind::Put)
                continue;
            if (operation.key.empty())
                return absl::InvalidArgumentError("etcdserver: key is not provided");
            if (operation.value.size() > maxValueBytes)
                return absl::InvalidArgumentError("etcdserver: request is too large");
            if (!writtenKeys.insert(operation.key).second)
                return absl::InvalidArgumentError("etcdserver: duplicate key given in txn request");
            if (operation.lease != 0 && m_leases.count(operation.lease) == 0)
                return absl::NotFoundError("etcdserver: requested lease not found");
        }
        for (const auto& operation : operations) {
            if (operation.kind != Operation::Kind::Erase)
                continue;
            for (const auto& key : writtenKeys) {
                if (key >= operation.range.first && contains(operation.range, key))
                    return absl::InvalidArgumentError("etcdserver: duplicate key given in txn request");
            }
        }
        return absl::OkStatus();
    }

    OperationResult apply(const Operation& operation, Revision nextRevision, bool& changed)
    {
        OperationResult result;
        result.kind = operation.kind;
        if (operation.kind == Operation::Kind::Range)
            result.entries = range(operation.range);
        else if (operation.kind == Operation::Kind::Put) {
            put(operation, nextRevision);
            changed = true;
        } else {
            for (const auto& [key, record] : range(operation.range)) {
                detachFromLease(key, record.lease);
                m_records.erase(key);
                ++result.erased;
                changed = true;
            }
        }
        return result;
    }

    void put(const Operation& operation, Revision nextRevision)
    {
        Record& record = m_records[operation.key];
        detachFromLease(operation.key, record.lease);
        record.value = operation.value;
        if (record.version == 0)
            record.createRevision = nextRevision;
        record.modRevision = nextRevision;
        ++record.version;
        record.lease = operation.lease;
        if (operation.lease != 0)
            m_leases[operation.lease].keys.insert(operation.key);
    }

    void detachFromLease(const std::string& key, StoreLeaseId id)
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
