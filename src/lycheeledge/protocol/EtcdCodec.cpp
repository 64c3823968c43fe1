// JSON form of the published etcd v3 gateway calls that the platform's store offers.

#include "EtcdCodec.h"

#include "StateJson.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace lycheeledge {

namespace {

    // 64-bit integers are strings in the JSON mapping of protocol buffers.
    void writeInt64(JsonWriter& writer, const char* name, std::int64_t value)
    {
        writeText(writer, name, absl::StrCat(value));
    }

    /** @brief Smallest key that is greater than every key with the prefix; "\0" stands for no end. */
    std::string endOfPrefix(std::string prefix)
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
        // An empty prefix means all keys, which the protocol writes as the range from "\0" without an end.
        writeBase64(writer, "key", range.prefix.empty() && !range.exact ? std::string(1, '\0') : range.prefix);
        if (!range.exact)
            writeBase64(writer, "range_end", endOfPrefix(range.prefix));
        if (range.minModRevision > 0)
            writeInt64(writer, "min_mod_revision", range.minModRevision);
        writer.EndObject();
    }

    std::string finish(const rapidjson::StringBuffer& buf) { return { buf.GetString(), buf.GetSize() }; }

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

    Revision readRevision(const JsonFields& answer)
    {
        const JsonFields header = answer.object("header");
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
        // The subset has no paging; a cut range would be taken for deleted keys.
        if (range.boolean("more"))
            range.fail("more", "is set although no limit was asked for");
        return result;
    }

    /** @brief Parses `body` and lets `read` take its fields. */
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
    return finish(buf);
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
    return finish(buf);
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
    for (const auto& key : transaction.erases)
        writeErase(writer, key);
    writer.EndArray();
    writer.EndObject();
    return finish(buf);
}

std::string encodeLeaseGrant(std::int64_t seconds)
{
    rapidjson::StringBuffer buf;
    JsonWriter writer(buf);
    writer.StartObject();
    writeInteger(writer, "TTL", seconds);
    writer.EndObject();
    return finish(buf);
}

std::string encodeLeaseId(StoreLeaseId lease)
{
    rapidjson::StringBuffer buf;
    JsonWriter writer(buf);
    writer.StartObject();
    writeInteger(writer, "ID", lease);
    writer.EndObject();
    return finish(buf);
}

absl::StatusOr<StoreSnapshot> decodeRange(const std::string& body)
{
    return decode<StoreSnapshot>(body, [](const JsonFields& answer) {
        StoreSnapshot result;
        result.revision = readRevision(answer);
        result.ranges.push_back(readEntries(answer));
        return result;
    });
}

absl::StatusOr<StoreSnapshot> decodeReadTransaction(const std::string& body, std::size_t count)
{
    return decode<StoreSnapshot>(body, [count](const JsonFields& answer) {
        StoreSnapshot result;
        result.revision = readRevision(answer);
        if (!answer.boolean("succeeded"))
            answer.fail("succeeded", "is not set");
        answer.each("responses", [&result](const JsonFields& response) {
            result.ranges.push_back(readEntries(response.object("response_range")));
        });
        if (result.ranges.size() != count)
            answer.fail("responses", "has the wrong number of elements");
        return result;
    });
}

absl::StatusOr<StoreCommit> decodeTransaction(const std::string& body)
{
    return decode<StoreCommit>(body, [](const JsonFields& answer) {
        return StoreCommit { answer.boolean("succeeded"), readRevision(answer) };
    });
}

absl::StatusOr<StoreLeaseId> decodeLeaseGrant(const std::string& body)
{
    return decode<StoreLeaseId>(body, [](const JsonFields& answer) {
        const StoreLeaseId result = answer.int64("ID");
        if (result == 0)
            answer.fail("ID", "is missing");
        return result;
    });
}

absl::StatusOr<Duration> decodeKeepAlive(const std::string& body)
{
    // The answer is a stream with one element for each request, one on a line.
    return decode<Duration>(body.substr(0, body.find('\n')), [](const JsonFields& answer) -> Duration {
        const JsonFields result = answer.object("result");
        if (result.int64("ID") == 0)
            result.fail("ID", "is missing");
        // More than a year can only be a fault, and would overflow the conversion to nanoseconds.
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
    const JsonFields answer(document, "answer", status);
    EtcdError result { static_cast<int>(answer.uint32("code")), answer.optionalText("message") };
    if (result.message.empty())
        result.message = answer.optionalText("error");
    return status.ok() ? result : EtcdError { 0, body.substr(0, 200) };
}

} // namespace lycheeledge
