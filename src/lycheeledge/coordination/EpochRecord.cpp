// Store record of the owner of a cell.

#include "EpochRecord.h"

#include "JsonFields.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <limits>

namespace lycheeledge {

std::string ownerEpochKey(const CellId& cell) { return absl::StrCat("o/", cell.value(), "/epoch"); }
std::string ownerLeaseKey(const CellId& cell) { return absl::StrCat("o/", cell.value(), "/lease"); }

std::string formatEpochRecord(const EpochRecord& record)
{
    rapidjson::StringBuffer buf;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buf);
    writer.StartObject();
    writer.Key("epoch");
    writer.Uint64(record.epoch);
    writer.Key("owner");
    writer.String(record.owner.value().c_str());
    writer.Key("incarnation"); // a string: many JSON parsers read numbers exactly only up to 2^53
    writer.String(std::to_string(record.incarnation).c_str());
    writer.Key("host");
    writer.String(record.address.host.c_str());
    writer.Key("port");
    writer.Uint(record.address.port);
    writer.EndObject();
    return { buf.GetString(), buf.GetSize() };
}

absl::StatusOr<EpochRecord> parseEpochRecord(std::string_view json)
{
    rapidjson::Document document;
    if (!detail::parseObject(document, json))
        return absl::InvalidArgumentError("owner record is not a JSON object");
    const auto text = [&](const char* name) -> const char* {
        const auto it = document.FindMember(name);
        return it != document.MemberEnd() && it->value.IsString() ? it->value.GetString() : nullptr;
    };
    const auto epoch = document.FindMember("epoch");
    const auto port = document.FindMember("port");
    EpochRecord record;
    if (epoch == document.MemberEnd() || !epoch->value.IsUint64() || port == document.MemberEnd()
        || !port->value.IsUint() || port->value.GetUint() > std::numeric_limits<std::uint16_t>::max() || !text("owner")
        || !text("host") || !text("incarnation") || !absl::SimpleAtoi(text("incarnation"), &record.incarnation))
        return absl::InvalidArgumentError("owner record lacks a field or has one of the wrong type");
    record.epoch = epoch->value.GetUint64();
    record.owner = MemberId(text("owner"));
    record.address = { text("host"), static_cast<std::uint16_t>(port->value.GetUint()) };
    return record;
}

} // namespace lycheeledge
