// JSON encoding of member records.

#include "MemberRecord.h"

#include "JsonFields.h"

#include <absl/strings/numbers.h>

#include <limits>

namespace lycheeledge {

namespace {

    using namespace detail;

    // Incarnations use all 64 bits, but many JSON parsers read numbers exactly only up to 2^53, so they are strings.
    std::optional<std::uint64_t> incarnationField(const rapidjson::Value& object)
    {
        const auto text = stringField(object, "incarnation");
        std::uint64_t value = 0;
        if (!text || !absl::SimpleAtoi(*text, &value))
            return std::nullopt;
        return value;
    }

    std::optional<Address> addressFields(const rapidjson::Value& object)
    {
        const auto host = stringField(object, "host");
        const auto port = uintField(object, "port");
        if (!host || !port || *port > std::numeric_limits<std::uint16_t>::max())
            return std::nullopt;
        return Address { *host, static_cast<std::uint16_t>(*port) };
    }

    void writeAddress(JsonWriter& out, const Address& address)
    {
        writeString(out, "host", address.host);
        writeKey(out, "port");
        out.Uint(address.port);
    }

} // namespace

std::string encodeMemberRecord(const MemberRecord& record)
{
    rapidjson::StringBuffer buf;
    JsonWriter out(buf);
    out.StartObject();
    writeString(out, "id", record.id.value());
    writeAddress(out, record.peer);
    writeString(out, "zone", record.zone.value());
    writeString(out, "incarnation", std::to_string(record.incarnation));
    out.EndObject();
    return { buf.GetString(), buf.GetSize() };
}

std::optional<MemberRecord> decodeMemberRecord(std::string_view json)
{
    rapidjson::Document document;
    if (!parseObject(document, json))
        return std::nullopt;
    const auto id = stringField(document, "id");
    const auto peer = addressFields(document);
    const auto zone = stringField(document, "zone");
    const auto incarnation = incarnationField(document);
    if (!id || id->empty() || !peer || !zone || !incarnation)
        return std::nullopt;
    return MemberRecord { MemberId(*id), *peer, ZoneId(*zone), *incarnation };
}

} // namespace lycheeledge
