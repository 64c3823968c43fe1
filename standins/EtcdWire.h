// Server side of the subset of the etcd v3 JSON gateway that the platform stand-in supports.
#pragma once

#include "StoreModel.h"

#include <lycheeledge/protocol/StateJson.h>
#include <lycheeledge/transport/Http.h>

#include <absl/strings/str_cat.h>

#include <string>
#include <utility>
#include <vector>

namespace lycheeledge::standin {

/** @brief Kind of a call, for the call counters. */
enum class StoreCallKind { Read, Write };

namespace detail {

    inline HttpResponse etcdError(const absl::Status& status)
    {
        const bool notFound = absl::IsNotFound(status);
        rapidjson::StringBuffer buf;
        JsonWriter writer(buf);
        writer.StartObject();
        writeText(writer, "error", std::string(status.message()));
        writeInteger(writer, "code", notFound ? 5 : 3); // gRPC codes NOT_FOUND and INVALID_ARGUMENT
        writeText(writer, "message", std::string(status.message()));
        writer.EndObject();
        return { notFound ? 404 : 400, { { "content-type", "application/json" } }, buf.GetString() };
    }

    inline void writeDecimal(JsonWriter& writer, const char* name, std::int64_t value)
    {
        writeText(writer, name, absl::StrCat(value));
    }

    inline void writeHeader(JsonWriter& writer, Revision revision)
    {
        writer.Key("header");
        writer.StartObject();
        writeDecimal(writer, "cluster_id", 1);
        writeDecimal(writer, "member_id", 1);
        writeDecimal(writer, "revision", revision);
        writeDecimal(writer, "raft_term", 1);
        writer.EndObject();
    }

    inline void writeEntries(JsonWriter& writer, const std::vector<StoreModel::Entry>& entries)
    {
        if (entries.empty())
            return;
        writer.Key("kvs");
        writer.StartArray();
        for (const auto& [key, record] : entries) {
            writer.StartObject();
            writeBase64(writer, "key", key);
            writeDecimal(writer, "create_revision", record.createRevision);
            writeDecimal(writer, "mod_revision", record.modRevision);
            writeDecimal(writer, "version", record.version);
            writeBase64(writer, "value", record.value);
            if (record.lease != 0)
                writeDecimal(writer, "lease", record.lease);
            writer.EndObject();
        }
        writer.EndArray();
        writeDecimal(writer, "count", static_cast<std::int64_t>(entries.size()));
    }

    inline StoreModel::Range readRange(const JsonFields& fields)
    {
        StoreModel::Range range { fields.base64("key"), fields.base64("range_end"), fields.int64("min_mod_revision") };
        if (range.first.empty())
            fields.fail("key", "is not provided");
        return range;
    }

    inline StoreModel::Operation readOperation(const JsonFields& fields)
    {
        StoreModel::Operation result;
        if (fields.has("request_range")) {
            result.range = readRange(fields.object("request_range"));
        } else if (fields.has("request_put")) {
            const JsonFields put = fields.object("request_put");
            result.kind = StoreModel::Operation::Kind::Put;
            result.key = put.base64("key");
            result.value = put.base64("value");
            result.lease = put.int64("lease");
        } else if (fields.has("request_delete_range")) {
            result.kind = StoreModel::Operation::Kind::Erase;
            result.range = readRange(fields.object("request_delete_range"));
        } else {
            fields.fail("request", "is not supported");
        }
        return result;
    }

    inline StoreModel::Compare readCompare(const JsonFields& fields)
    {
        using Target = StoreModel::CompareTarget;
        using Result = StoreModel::CompareResult;
        StoreModel::Compare compare;
        compare.key = fields.base64("key");
        const std::string target = fields.optionalText("target");
        if (target == "MOD") {
            compare.number = fields.int64("mod_revision");
        } else if (target == "CREATE") {
            compare.target = Target::Create;
            compare.number = fields.int64("create_revision");
        } else if (target.empty() || target == "VERSION") {
            compare.target = Target::Version;
            compare.number = fields.int64("version");
        } else if (target == "VALUE") {
            compare.target = Target::Value;
            compare.value = fields.base64("value");
        } else if (target == "LEASE") {
            compare.target = Target::Lease;
            compare.number = fields.int64("lease");
        } else {
            fields.fail("target", "is unknown");
        }
        const std::string result = fields.optionalText("result");
        if (result == "NOT_EQUAL")
            compare.result = Result::NotEqual;
        else if (result == "GREATER")
            compare.result = Result::Greater;
        else if (result == "LESS")
            compare.result = Result::Less;
        else if (!result.empty() && result != "EQUAL")
            fields.fail("result", "is unknown");
        return compare;
    }

    inline void writeOperationResult(JsonWriter& writer, const StoreModel::OperationResult& result, Revision revision)
    {
        writer.StartObject();
        switch (result.kind) {
        case StoreModel::Operation::Kind::Range:
            writer.Key("response_range");
            break;
        case StoreModel::Operation::Kind::Put:
            writer.Key("response_put");
            break;
        case StoreModel::Operation::Kind::Erase:
            writer.Key("response_delete_range");
            break;
        }
        writer.StartObject();
        writeHeader(writer, revision);
        writeEntries(writer, result.entries);
        if (result.erased > 0)
            writeDecimal(writer, "deleted", result.erased);
        writer.EndObject();
        writer.EndObject();
    }

    inline HttpResponse runTransaction(
        StoreModel& model, const JsonFields& fields, const absl::Status& decodeStatus, StoreCallKind& kind)
    {
        StoreModel::Transaction transaction;
        fields.each("compare", [&](const JsonFields& item) { transaction.compares.push_back(readCompare(item)); });
        fields.each("success", [&](const JsonFields& item) { transaction.success.push_back(readOperation(item)); });
        fields.each("failure", [&](const JsonFields& item) { transaction.failure.push_back(readOperation(item)); });
        if (!decodeStatus.ok())
            return etcdError(decodeStatus);
        for (const auto& operation : transaction.success) {
            if (operation.kind != StoreModel::Operation::Kind::Range)
                kind = StoreCallKind::Write;
        }
        bool succeeded = false;
        std::vector<StoreModel::OperationResult> results;
        if (const absl::Status status = model.run(transaction, succeeded, results); !status.ok())
            return etcdError(status);
        rapidjson::StringBuffer buf;
        JsonWriter writer(buf);
        writer.StartObject();
        writeHeader(writer, model.revision());
        if (succeeded)
            writeBoolean(writer, "succeeded", true);
        writer.Key("responses");
        writer.StartArray();
        for (const auto& result : results)
            writeOperationResult(writer, result, model.revision());
        writer.EndArray();
        writer.EndObject();
        return { 200, { { "content-type", "application/json" } }, { buf.GetString(), buf.GetSize() } };
    }

    inline HttpResponse jsonObjectResponse(const std::function<void(JsonWriter&)>& write)
    {
        rapidjson::StringBuffer buf;
        JsonWriter writer(buf);
        writer.StartObject();
        write(writer);
        writer.EndObject();
        return { 200, { { "content-type", "application/json" } }, { buf.GetString(), buf.GetSize() } };
    }

    inline HttpResponse grantLease(StoreModel& model, const JsonFields& fields, TimePoint now)
    {
        const std::int64_t seconds = fields.int64("TTL");
        if (seconds <= 0 || seconds > 1000000 || !fields.ok())
            return etcdError(absl::InvalidArgumentError("etcdserver: too large or missing lease TTL"));
        const StoreLeaseId id = model.grant(now, seconds, fields.int64("ID"));
        if (id == 0 || !fields.ok())
            return etcdError(absl::InvalidArgumentError("etcdserver: lease already exists"));
        return jsonObjectResponse([&](JsonWriter& writer) {
            writeHeader(writer, model.revision());
            writeDecimal(writer, "ID", id);
            writeDecimal(writer, "TTL", seconds);
        });
    }

    inline HttpResponse keepAlive(
        StoreModel& model, const JsonFields& fields, const absl::Status& decodeStatus, TimePoint now)
    {
        const StoreLeaseId id = fields.int64("ID");
        if (!decodeStatus.ok())
            return etcdError(decodeStatus);
        const std::int64_t remainingSeconds = model.keepAlive(now, id);
        HttpResponse response = jsonObjectResponse([&](JsonWriter& writer) {
            writer.Key("result");
            writer.StartObject();
            writeHeader(writer, model.revision());
            writeDecimal(writer, "ID", id);
            if (remainingSeconds > 0)
                writeDecimal(writer, "TTL", remainingSeconds);
            writer.EndObject();
        });
        response.body += '\n';
        return response;
    }

    inline HttpResponse revokeLease(StoreModel& model, const JsonFields& fields, const absl::Status& decodeStatus)
    {
        const StoreLeaseId id = fields.int64("ID");
        if (!decodeStatus.ok())
            return etcdError(decodeStatus);
        if (!model.revoke(id))
            return etcdError(absl::NotFoundError("etcdserver: requested lease not found"));
        return jsonObjectResponse([&](JsonWriter& writer) { writeHeader(writer, model.revision()); });
    }

    inline HttpResponse runRange(StoreModel& model, const JsonFields& fields, const absl::Status& decodeStatus)
    {
        const StoreModel::Range range = readRange(fields);
        if (!decodeStatus.ok())
            return etcdError(decodeStatus);
        return jsonObjectResponse([&](JsonWriter& writer) {
            writeHeader(writer, model.revision());
            writeEntries(writer, model.range(range));
        });
    }

} // namespace detail

/**
 * @brief Runs one call of the gateway.
 * @param kind is set to whether the call counts as a read or a write. A transaction counts as a write if its success
 * branch has a write.
 */
inline HttpResponse handleStoreCall(
    StoreModel& model, const std::string& path, const std::string& body, TimePoint now, StoreCallKind& kind)
{
    kind = StoreCallKind::Write;
    model.advance(now);
    rapidjson::Document document;
    absl::Status decodeStatus = parseJson(body, document);
    if (!decodeStatus.ok())
        return detail::etcdError(decodeStatus);
    const JsonFields fields(document, "request", decodeStatus);
    if (path == "/v3/kv/range") {
        kind = StoreCallKind::Read;
        return detail::runRange(model, fields, decodeStatus);
    }
    if (path == "/v3/kv/txn") {
        kind = StoreCallKind::Read;
        return detail::runTransaction(model, fields, decodeStatus, kind);
    }
    if (path == "/v3/lease/grant")
        return detail::grantLease(model, fields, now);
    if (path == "/v3/lease/keepalive")
        return detail::keepAlive(model, fields, decodeStatus, now);
    if (path == "/v3/lease/revoke")
        return detail::revokeLease(model, fields, decodeStatus);
    return { 404, {}, "Not Found" };
}

} // namespace lycheeledge::standin
