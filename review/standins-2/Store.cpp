// Stand-in of the platform's metadata store (PROTOCOL, "The platform's metadata store").

#include "Store.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <chrono>
#include <thread>

namespace standins {

namespace {

    using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

    constexpr auto answerTime = std::chrono::milliseconds(4);
    constexpr const char* alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

    void text(Writer& out, const char* name, const std::string& value)
    {
        out.Key(name);
        out.String(value.c_str(), static_cast<rapidjson::SizeType>(value.size()));
    }

    void number(Writer& out, const char* name, std::uint64_t value)
    {
        out.Key(name);
        out.Uint64(value);
    }

} // namespace

std::int64_t steadyMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

std::int64_t unixMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

std::string encodeBase64(const std::string& text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        const auto byte = [&](std::size_t n) {
            return i + n < text.size() ? static_cast<std::uint32_t>(static_cast<unsigned char>(text[i + n])) : 0U;
        };
        const std::uint32_t bits = byte(0) << 16U | byte(1) << 8U | byte(2);
        for (std::size_t n = 0; n < 4; ++n)
            result += n > text.size() - i ? '=' : alphabet[bits >> (18 - 6 * n) & 63U];
    }
    return result;
}

std::string decodeBase64(const std::string& text)
{
    std::string result;
    std::uint32_t bits = 0;
    int n = 0;
    for (const char c : text) {
        const std::size_t value = std::string(alphabet).find(c);
        if (value == std::string::npos)
            break;
        bits = bits << 6U | static_cast<std::uint32_t>(value);
        n += 6;
        if (n >= 8) {
            n -= 8;
            result += static_cast<char>(bits >> static_cast<unsigned>(n) & 255U);
        }
    }
    return result;
}

Store::Store()
    : m_server([this](const Request& request) { return handle(request); })
{
    std::thread([this] {
        while (true) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
            endLeases();
        }
    }).detach();
}

void Store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    write(key, encodeBase64(value), 0, ++m_rev);
    m_changed.notify_all();
}

void Store::remove(const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    if (m_items.contains(key))
        erase(key, ++m_rev);
    m_changed.notify_all();
}

void Store::setSilent(bool silent)
{
    const std::lock_guard lock(m_mutex);
    m_silent = silent;
    m_changed.notify_all();
}

std::string Store::lastTransaction()
{
    const std::lock_guard lock(m_mutex);
    return m_lastTransaction;
}

void Store::write(const std::string& key, const std::string& value, std::uint64_t lease, std::uint64_t rev)
{
    Item& item = m_items[key];
    item = { value, rev, item.createdAt != 0 ? item.createdAt : rev, lease };
    m_events.push_back({ key, item, false });
}

void Store::erase(const std::string& key, std::uint64_t rev)
{
    m_items.erase(key);
    m_events.push_back({ key, { .value = {}, .rev = rev }, true });
}

void Store::endLeases()
{
    const std::lock_guard lock(m_mutex);
    const std::int64_t now = steadyMs();
    for (auto it = m_leases.begin(); it != m_leases.end();) {
        if (now < it->second.endMs) {
            ++it;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto& [key, item] : m_items) {
            if (item.lease == it->first)
                keys.push_back(key);
        }
        for (const auto& key : keys)
            erase(key, ++m_rev);
        it = m_leases.erase(it);
    }
    m_changed.notify_all();
}

std::optional<Response> Store::handle(const Request& request)
{
    std::unique_lock lock(m_mutex);
    if (m_silent)
        return std::nullopt;
    std::optional<Response> response;
    const auto is = [&](const char* method, const char* path) {
        return request.method == method && request.target.starts_with(path);
    };
    if (is("GET", "/v1/kv-key?"))
        response = get(request);
    else if (is("GET", "/v1/kv-range?"))
        response = range(request);
    else if (is("GET", "/v1/kv-watch?"))
        response = watch(request, lock);
    else if (is("POST", "/v1/kv-txn"))
        response = commit(request);
    else if (is("POST", "/v1/kv-lease") || is("POST", "/v1/kv-keep/") || is("DELETE", "/v1/kv-lease-end/"))
        response = lease(request);
    else
        response = Response { 400, "{}", {} };
    m_changed.notify_all();
    lock.unlock();
    std::this_thread::sleep_for(answerTime);
    lock.lock();
    return m_silent ? std::nullopt : response;
}

Response Store::get(const Request& request)
{
    rapidjson::StringBuffer buf;
    Writer out(buf);
    const std::string key = queryField(request.target, "key");
    const auto it = m_items.find(key);
    out.StartObject();
    if (it != m_items.end()) {
        text(out, "key", key);
        text(out, "value", it->second.value);
        number(out, "rev", it->second.rev);
        number(out, "createdAt", it->second.createdAt);
        number(out, "lease", it->second.lease);
    }
    number(out, "asOf", m_rev);
    out.EndObject();
    return { it != m_items.end() ? 200 : 404, buf.GetString(), {} };
}

Response Store::range(const Request& request)
{
    rapidjson::StringBuffer buf;
    Writer out(buf);
    const std::string prefix = queryField(request.target, "prefix");
    const std::string after = queryField(request.target, "after");
    out.StartObject();
    out.Key("items");
    out.StartArray();
    std::size_t n = 0;
    bool truncated = false;
    for (auto it = m_items.lower_bound(prefix); it != m_items.end() && it->first.starts_with(prefix); ++it) {
        if (it->first <= after)
            continue;
        if (++n > 500) {
            truncated = true;
            break;
        }
        out.StartObject();
        text(out, "key", it->first);
        text(out, "value", it->second.value);
        number(out, "rev", it->second.rev);
        number(out, "createdAt", it->second.createdAt);
        number(out, "lease", it->second.lease);
        out.EndObject();
    }
    out.EndArray();
    out.Key("truncated");
    out.Bool(truncated);
    number(out, "asOf", m_rev);
    out.EndObject();
    return { 200, buf.GetString(), {} };
}

std::optional<Response> Store::watch(const Request& request, std::unique_lock<std::mutex>& lock)
{
    const std::string prefix = queryField(request.target, "prefix");
    const std::uint64_t after = std::stoull("0" + queryField(request.target, "after"));
    const std::int64_t end = steadyMs() + std::stoll("0" + queryField(request.target, "waitMs"));
    rapidjson::StringBuffer buf;
    Writer out(buf);
    out.StartObject();
    out.Key("events");
    out.StartArray();
    for (bool found = false; !found;) {
        if (m_silent)
            return std::nullopt;
        for (const auto& event : m_events) {
            if (event.item.rev <= after || !event.key.starts_with(prefix))
                continue;
            found = true;
            out.StartObject();
            text(out, "key", event.key);
            number(out, "rev", event.item.rev);
            if (event.removed) {
                out.Key("removed");
                out.Bool(true);
            } else {
                text(out, "value", event.item.value);
                number(out, "createdAt", event.item.createdAt);
                number(out, "lease", event.item.lease);
            }
            out.EndObject();
        }
        const std::int64_t left = end - steadyMs();
        if (found || left <= 0)
            break;
        m_changed.wait_for(lock, std::chrono::milliseconds(left));
    }
    out.EndArray();
    number(out, "asOf", m_rev);
    out.EndObject();
    return Response { 200, buf.GetString(), {} };
}

Response Store::commit(const Request& request)
{
    rapidjson::Document body;
    if (body.Parse(request.body.c_str()).HasParseError() || !body.IsObject())
        return { 400, "{}", {} };
    bool holds = true;
    for (const auto& it : body["precondition"].GetArray()) {
        const auto item = m_items.find(it["key"].GetString());
        holds = holds && (item == m_items.end() ? 0 : item->second.rev) == it["rev"].GetUint64();
    }
    rapidjson::StringBuffer buf;
    Writer out(buf);
    out.StartObject();
    if (!holds) {
        out.Key("items");
        out.StartArray();
        for (const auto& it : body["precondition"].GetArray()) {
            const auto item = m_items.find(it["key"].GetString());
            if (item == m_items.end())
                continue;
            out.StartObject();
            text(out, "key", item->first);
            text(out, "value", item->second.value);
            number(out, "rev", item->second.rev);
            number(out, "createdAt", item->second.createdAt);
            number(out, "lease", item->second.lease);
            out.EndObject();
        }
        out.EndArray();
        out.EndObject();
        return { 412, buf.GetString(), {} };
    }
    for (const auto& it : body["writes"].GetArray()) {
        if (it.HasMember("lease") && it["lease"].GetUint64() != 0 && !m_leases.contains(it["lease"].GetUint64()))
            return { 404, "{}", {} };
    }
    const std::uint64_t rev = ++m_rev;
    m_lastTransaction.clear();
    for (const auto& it : body["writes"].GetArray()) {
        write(it["key"].GetString(), it["value"].GetString(), it.HasMember("lease") ? it["lease"].GetUint64() : 0, rev);
        m_lastTransaction += decodeBase64(it["value"].GetString()) + "\n";
    }
    for (const auto& it : body["remove"].GetArray()) {
        if (m_items.contains(it.GetString()))
            erase(it.GetString(), rev);
    }
    number(out, "rev", rev);
    out.EndObject();
    return { 200, buf.GetString(), {} };
}

Response Store::lease(const Request& request)
{
    rapidjson::StringBuffer buf;
    Writer out(buf);
    out.StartObject();
    if (request.target == "/v1/kv-lease") {
        rapidjson::Document body;
        body.Parse(request.body.c_str());
        const std::int64_t ttlMs = std::max<std::int64_t>(1000, body["ttlMs"].GetInt64());
        m_leases[++m_nextLease] = { ttlMs, steadyMs() + ttlMs };
        number(out, "lease", m_nextLease);
        number(out, "ttlMs", static_cast<std::uint64_t>(ttlMs));
    } else {
        const auto it = m_leases.find(std::stoull(request.target.substr(request.target.rfind('/') + 1)));
        if (it == m_leases.end())
            return { 404, "{}", {} };
        const bool ends = request.method == "DELETE";
        it->second.endMs = steadyMs() + (ends ? 0 : it->second.ttlMs);
        number(out, "ttlMs", static_cast<std::uint64_t>(it->second.ttlMs));
    }
    out.EndObject();
    return { 200, buf.GetString(), {} };
}

} // namespace standins
