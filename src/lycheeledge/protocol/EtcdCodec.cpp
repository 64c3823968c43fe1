// JSON encoding of the etcd v3 gateway calls that the platform's store supports.

#include "EtcdCodec.h"

#include "StateJson.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace lycheeledge {

namespace {

    // The JSON mapping of protocol buffers represents 64-bit integers as strings.
    void writeInt64(JsonWriter& writer, const char* name, std::int64_t value)
    {
        writeText(writer, name, absl::StrCat(value));
    }

    /** @brief Smallest key that is greater than every key with the prefix; "\0" means that the range has no end. */
    std::string prefixRangeEnd(std::string prefix)
    {
        while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff)
            prefix.pop_back();
        if (prefix.empty())
            return std::string(1, '\0');
        prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1);
        return prefix;
    }

    void writeRange(JsonWriter& writer, const StoreRange& range)
    {
        writer.StartObject();
        // An empty prefix selects all keys, which the protocol encodes as the range from "\0" without an end.
        writeBase64(writer, "key", range.prefix.empty() && !range.exact ? std::string(1, '\0') : range.prefix);
        if (!range.exact)
            writeBase64(writer, "range_end", prefixRangeEnd(range.prefix));
        if (range.minModRevision > 0)
            writeInt64(writer, "min_mod_revision", range.minModRevision);
        writer.EndObject();
    }

    std::string toText(const rapidjson::StringBuffer& buf) { return { buf.GetString(), buf.GetSize() }; }

    void writeCondition(JsonWriter& writer, const StoreCondition& condition)
    {
        writer.StartObject();
        writeText(writer, "target", "MOD");
        writeText(writer, "result", "EQUAL");
        writeBase64(writer, "key", condition.key);
        writeInt64(writer, "mod_revision", condition.modRevision);
        writer.EndObject();
    }

    void writePut(JsonWriter& writer, const StorePut& put)
    {
        writer.StartObject();
        writer.Key("request_put");
        writer.StartObject();
        writeBase64(writer, "key", put.key);
        writeBase64(writer, "value", put.value);
        if (put.lease)
            writeInt64(writer, "lease", *put.lease);
        writer.EndObject();
        writer.EndObject();
    }

    void writeErase(JsonWriter& writer, const std::string& key)
    {
        writer.StartObject();
        writer.Key("request_delete_range");
        writer.StartObject();
        writeBase64(writer, "key", key);
        writer.EndObject();
        writer.EndObject();
    }

    Revision readRevision(const JsonFields& response)
    {
        const JsonFields header = response.object("header");
        const Revision result = header.int64("revision");
        if (result <= 0)
            header.fail("revision", "is missing");
        return result;
    }

    std::vector<StoreEntry> readEntries(const JsonFields& range)
    {
        std::vector<StoreEntry> result;
        range.each("kvs", [&result](const JsonFields& kv) {
            StoreEntry entry { kv.base64("key"), kv.base64("value"), kv.int64("mod_revision") };
            if (entry.modRevision <= 0)
                kv.fail("mod_revision", "is missing");
            result.push_back(std::move(entry));
        });
        // Requests set no limit, so a range must be complete: keys missing from it would be treated as deleted.
        if (range.boolean("more"))
            range.fail("more", "is set although no limit was asked for");
        return result;
    }

    /** @brief Parses `body` and converts it with `read`. */
    template <typename T, typename Read> absl::StatusOr<T> decode(const std::string& body, Read read)
    {
        rapidjson::Document document;
        absl::Status status = parseJson(body, document);
        if (!status.ok())
            return status;
        T result = read(JsonFields(document, "answer", status));
        if (!status.ok())
            return status;
        return result;
    }

} // namespace

std::string encodeRange(const StoreRange& range)
{
    rapidjson::StringBuffer buf;
    JsonWriter writer(buf);
    writeRange(writer, range);
    return toText(buf);
}

std::string encodeReadTransaction(const std::vector<StoreRange>& ranges)
{
    rapidjson::StringBuffer buf;
    JsonWriter writer(buf);
    writer.StartObject();
    writer.Key("success");
    writer.StartArray();
    for (const auto& range : ranges) {
        writer.StartObject();
        writer.Key("request_range");
        writeRange(writer, range);
        writer.EndObject();
    }
    writer.EndArray();
    writer.EndObject();
    return toText(buf);
}

std::string encodeTransaction(const StoreTransaction& transaction)
{
    rapidjson::StringBuffer buf;
    JsonWriter writer(buf);
    writer.StartObject();
    writer.Key("compare");
    writer.StartArray();
    for (const auto& condition : transaction.conditions)
        writeCondition(writer, condition);
    writer.EndArray();
    writer.Key("success");
    writer.StartArray();
    for (const auto& put : transaction.puts)
        writePut(writer, put);
    for (const auto& key : transaction.deletes)
        writeErase(writer, key);
    writer.EndArray();
    writer.EndObject();
    return toText(buf);
}

std::string encodeLeaseGrant(std::int64_t seconds)
{
    rapidjson::StringBuffer buf;
    JsonWriter writer(buf);
    writer.StartObject();
    writeInteger(writer, "TTL", seconds);
    writer.EndObject();
    return toText(buf);
}

std::string encodeLeaseId(StoreLeaseId lease)
{
    rapidjson::StringBuffer buf;
    JsonWriter writer(buf);
    writer.StartObject();
    writeInteger(writer, "ID", lease);
    writer.EndObject();
    return toText(buf);
}

absl::StatusOr<StoreSnapshot> decodeRange(const std::string& body)
{
    return decode<StoreSnapshot>(body, [](const JsonFields& response) {
        StoreSnapshot result;
        result.revision = readRevision(response);
        result.ranges.push_back(readEntries(response));
        return result;
    });
}

absl::StatusOr<StoreSnapshot> decodeReadTransaction(const std::string& body, std::size_t count)
{
    return decode<StoreSnapshot>(body, [count](const JsonFields& response) {
        StoreSnapshot result;
        result.revision = readRevision(response);
        if (!response.boolean("succeeded"))
            response.fail("succeeded", "is not set");
        response.each("responses",
            [&result](const JsonFields& item) { result.ranges.push_back(readEntries(item.object("response_range"))); });
        if (result.ranges.size() != count)
            response.fail("responses", "has the wrong number of elements");
        return result;
    });
}

absl::StatusOr<StoreCommit> decodeTransaction(const std::string& body)
{
    return decode<StoreCommit>(body, [](const JsonFields& response) {
        return StoreCommit { response.boolean("succeeded"), readRevision(response) };
    });
}

absl::StatusOr<StoreLeaseId> decodeLeaseGrant(const std::string& body)
{
    return decode<StoreLeaseId>(body, [](const JsonFields& response) {
        const StoreLeaseId result = response.int64("ID");
        if (result == 0)
            response.fail("ID", "is missing");
        return result;
    });
}

absl::StatusOr<Duration> decodeKeepAlive(const std::string& body)
{
    // The response is a stream of JSON values, one per line, one for each request; this client sends one request.
    return decode<Duration>(body.substr(0, body.find('\n')), [](const JsonFields& response) -> Duration {
        const JsonFields result = response.object("result");
        if (result.int64("ID") == 0)
            result.fail("ID", "is missing");
        // A time to live of more than a year is an error and could overflow the conversion to nanoseconds.
        const std::int64_t seconds = result.int64("TTL");
        if (seconds > 366LL * 24 * 3600)
            result.fail("TTL", "is out of range");
        return result.ok() && seconds > 0 ? Duration(std::chrono::seconds(seconds)) : Duration::zero();
    });
}

EtcdError decodeEtcdError(const std::string& body)
{
    rapidjson::Document document;
    absl::Status status = parseJson(body, document);
    if (!status.ok())
        return { 0, body.substr(0, 200) };
    const JsonFields response(document, "answer", status);
    EtcdError result { static_cast<int>(response.uint32("code")), response.optionalText("message") };
    if (result.message.empty())
        result.message = response.optionalText("error");
    return status.ok() ? result : EtcdError { 0, body.substr(0, 200) };
}

} // namespace lycheeledge
