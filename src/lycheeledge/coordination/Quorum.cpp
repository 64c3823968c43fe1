// The set of members whose majority must apply a configuration change.

#include "Quorum.h"

#include "JsonFields.h"

namespace lycheeledge {

namespace {

    using namespace detail;

    void writeMembers(JsonWriter& out, std::string_view name, const std::vector<MemberId>& members)
    {
        writeKey(out, name);
        out.StartArray();
        for (const auto& member : members)
            out.String(member.value().data(), static_cast<rapidjson::SizeType>(member.value().size()));
        out.EndArray();
    }

    bool readMembers(const rapidjson::Value& object, const char* name, std::vector<MemberId>& members)
    {
        const auto* array = findField(object, name);
        if (!array || !array->IsArray())
            return false;
        for (const auto& element : array->GetArray()) {
            if (!element.IsString())
                return false;
            members.emplace_back(std::string(element.GetString(), element.GetStringLength()));
        }
        std::sort(members.begin(), members.end());
        return true;
    }

} // namespace

std::string encodeQuorum(const Quorum& quorum)
{
    rapidjson::StringBuffer buf;
    JsonWriter out(buf);
    out.StartObject();
    writeMembers(out, "members", quorum.members);
    writeMembers(out, "previous", quorum.previous);
    out.EndObject();
    return { buf.GetString(), buf.GetSize() };
}

std::optional<Quorum> decodeQuorum(std::string_view json)
{
    rapidjson::Document document;
    Quorum quorum;
    if (!parseObject(document, json) || !readMembers(document, "members", quorum.members)
        || !readMembers(document, "previous", quorum.previous))
        return std::nullopt;
    return quorum;
}

} // namespace lycheeledge
