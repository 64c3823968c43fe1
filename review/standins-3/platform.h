// Stand-ins of the platform: its key-value store and the provider of the machines.
#pragma once

#include "net.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <condition_variable>
#include <optional>

namespace sim {

inline std::string encode64(const std::string& text)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        const auto byte = [&](std::size_t k) { return k < text.size() ? static_cast<unsigned char>(text[k]) : 0U; };
        const unsigned n = byte(i) << 16 | byte(i + 1) << 8 | byte(i + 2);
        result += digits[n >> 18];
        result += digits[n >> 12 & 63];
        result += i + 1 < text.size() ? digits[n >> 6 & 63] : '=';
        result += i + 2 < text.size() ? digits[n & 63] : '=';
    }
    return result;
}

inline std::string decode64(const std::string& text)
{
    std::string result;
    unsigned n = 0;
    int bits = 0;
    for (const char c : text) {
        int value = -1;
        if (c >= 'A' && c <= 'Z')
            value = c - 'A';
        else if (c >= 'a' && c <= 'z')
            value = c - 'a' + 26;
        else if (c >= '0' && c <= '9')
            value = c - '0' + 52;
        else if (c == '+')
            value = 62;
        else if (c == '/')
            value = 63;
        if (value < 0)
            continue;
        n = n << 6 | static_cast<unsigned>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            result += static_cast<char>(n >> bits & 255);
        }
    }
    return result;
}

inline std::string quote(const std::string& text)
{
    rapidjson::StringBuffer buf;
    rapidjson::Writer<rapidjson::StringBuffer> out(buf);
    out.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
    return buf.GetString();
}

inline std::int64_t integer(const rapidjson::Value& object, const char* name)
{
    const auto it = object.FindMember(name);
    return it != object.MemberEnd() && it->value.IsNumber() ? static_cast<std::int64_t>(it->value.GetDouble()) : 0;
}

inline std::string text(const rapidjson::Value& object, const char* name)
{
    const auto it = object.FindMember(name);
    return it != object.MemberEnd() && it->value.IsString() ? it->value.GetString() : "";
}

/** @brief The platform's store, with leases, watches, transactions and its whole history. */
class Store {
public:
    explicit Store(const std::string& ip)
        : server(ip, [this](const Request& request) { return handle(request); })
    {
        server.start();
        m_thread = std::thread([this] {
            while (!m_stopped) {
                expire();
                sleepMs(10);
            }
        });
    }
    ~Store()
    {
        m_stopped = true;
        m_changed.notify_all();
        m_thread.join();
        server.stop();
    }

    /** @brief A write of the operator or of a server. */
    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        ++m_revision;
        write(key, value, 0);
        m_changed.notify_all();
    }
    void erase(const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        if (m_items.count(key) == 0)
            return;
        ++m_revision;
        write(key, std::nullopt, 0);
        m_changed.notify_all();
    }
    std::optional<std::string> get(const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_items.find(key);
        return it == m_items.end() ? std::nullopt : std::optional(it->second.value);
    }

    /** @brief Called on each call, before it is carried out; an answer with status 0 lets it pass. */
    std::function<Response(const Request&)> fault;

    Server server;

private:
    struct Item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct Event {
        std::int64_t revision = 0;
        std::string key;
        std::optional<Item> item;
    };
    struct Lease {
        std::int64_t ttlMs = 0;
        std::int64_t endMs = 0;
    };

    void write(const std::string& key, const std::optional<std::string>& value, std::int64_t lease)
    {
        if (value) {
            Item& item = m_items[key];
            if (item.created == 0)
                item.created = m_revision;
            item.value = *value;
            item.revision = m_revision;
            item.lease = lease;
            m_events.push_back({ m_revision, key, item });
        } else {
            m_items.erase(key);
            m_events.push_back({ m_revision, key, std::nullopt });
        }
    }

    void endLease(std::int64_t id)
    {
        m_leases.erase(id);
        std::vector<std::string> keys;
        for (const auto& [key, item] : m_items) {
            if (item.lease == id)
                keys.push_back(key);
        }
        if (keys.empty())
            return;
        ++m_revision;
        for (const auto& key : keys)
            write(key, std::nullopt, 0);
        m_changed.notify_all();
    }

    void expire()
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::int64_t> ended;
        for (const auto& [id, lease] : m_leases) {
            if (lease.endMs <= nowMs())
                ended.push_back(id);
        }
        for (const auto id : ended)
            endLease(id);
    }

    static std::string encode(const std::string& key, const Item& item)
    {
        return "{\"key\":" + quote(key) + ",\"value\":\"" + encode64(item.value)
            + "\",\"rev\":" + std::to_string(item.revision) + ",\"createdAt\":" + std::to_string(item.created)
            + ",\"lease\":" + std::to_string(item.lease) + "}";
    }

    Response handle(const Request& request)
    {
        if (fault) {
            const Response response = fault(request);
            if (response.status != 0 || response.silent)
                return response;
        }
        sleepMs(4);
        const auto query = [&request](const char* name) {
            const auto it = request.query.find(name);
            return it == request.query.end() ? std::string() : it->second;
        };
        std::unique_lock lock(m_mutex);
        const std::string asOf = "\"asOf\":" + std::to_string(m_revision);
        if (request.path == "/v1/kv-key") {
            const auto it = m_items.find(query("key"));
            if (it == m_items.end())
                return { 404, "{" + asOf + "}" };
            std::string body = encode(it->first, it->second);
            body.insert(1, asOf + ",");
            return { 200, body };
        }
        if (request.path == "/v1/kv-range") {
            const std::string prefix = query("prefix");
            const std::string after = query("after");
            std::string items;
            std::size_t n = 0;
            std::size_t bytes = 0; // of values
            bool truncated = false;
            for (auto it = m_items.lower_bound(prefix); it != m_items.end() && it->first.rfind(prefix, 0) == 0; ++it) {
                if (!after.empty() && it->first <= after)
                    continue;
                if (n == 500 || bytes + it->second.value.size() > (1U << 20)) {
                    truncated = true;
                    break;
                }
                bytes += it->second.value.size();
                items += (n++ > 0 ? "," : "") + encode(it->first, it->second);
            }
            return { 200,
                "{" + asOf + ",\"items\":[" + items + "],\"truncated\":" + (truncated ? "true" : "false") + "}" };
        }
        if (request.path == "/v1/kv-watch") {
            const std::string prefix = query("prefix");
            const std::int64_t after = std::atoll(query("after").c_str());
            const auto deadline = Clock::now() + std::chrono::milliseconds(std::atoll(query("waitMs").c_str()));
            std::string events;
            const auto collect = [&] {
                events.clear();
                for (const auto& event : m_events) {
                    if (event.revision <= after || event.key.rfind(prefix, 0) != 0)
                        continue;
                    events += events.empty() ? "" : ",";
                    events += event.item ? encode(event.key, *event.item)
                                         : "{\"key\":" + quote(event.key) + ",\"rev\":" + std::to_string(event.revision)
                            + ",\"removed\":true}";
                }
                return !events.empty() || m_stopped;
            };
            m_changed.wait_until(lock, deadline, collect);
            return { 200, "{\"asOf\":" + std::to_string(m_revision) + ",\"events\":[" + events + "]}" };
        }
        if (request.path == "/v1/kv-txn")
            return commit(request.body);
        if (request.path == "/v1/kv-lease") {
            rapidjson::Document body;
            body.Parse(request.body.c_str());
            const std::int64_t ttl = std::max<std::int64_t>(1000, integer(body, "ttlMs"));
            m_leases[++m_lastLease] = { ttl, nowMs() + ttl };
            return { 200, "{\"lease\":" + std::to_string(m_lastLease) + ",\"ttlMs\":" + std::to_string(ttl) + "}" };
        }
        const auto id = [&request] { return std::atoll(request.path.substr(request.path.rfind('/') + 1).c_str()); };
        if (request.path.rfind("/v1/kv-keep/", 0) == 0) {
            const auto it = m_leases.find(id());
            if (it == m_leases.end())
                return { 404, "{}" };
            it->second.endMs = nowMs() + it->second.ttlMs;
            return { 200, "{\"ttlMs\":" + std::to_string(it->second.ttlMs) + "}" };
        }
        if (request.path.rfind("/v1/kv-lease-end/", 0) == 0) {
            if (m_leases.count(id()) == 0)
                return { 404, "{}" };
            endLease(id());
            return { 200, "{}" };
        }
        return { 404, "{}" };
    }

    Response commit(const std::string& text)
    {
        rapidjson::Document body;
        body.Parse(text.c_str());
        if (!body.IsObject())
            return { 400, "{}" };
        bool holds = true;
        std::string items;
        for (const auto& condition : body["precondition"].GetArray()) {
            const std::string key = condition["key"].GetString();
            const auto it = m_items.find(key);
            const Item item = it == m_items.end() ? Item {} : it->second;
            holds = holds && item.revision == condition["rev"].GetInt64();
            items += (items.empty() ? "" : ",") + encode(key, item);
        }
        if (!holds)
            return { 412, "{\"items\":[" + items + "]}" };
        for (const auto& put : body["writes"].GetArray()) {
            const std::int64_t lease = integer(put, "lease");
            if (lease != 0 && m_leases.count(lease) == 0)
                return { 404, "{}" };
            const std::string key = put["key"].GetString();
            if (key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0)
                return { 403, "{}" };
        }
        ++m_revision;
        for (const auto& put : body["writes"].GetArray())
            write(put["key"].GetString(), decode64(put["value"].GetString()), integer(put, "lease"));
        for (const auto& key : body["remove"].GetArray()) {
            if (m_items.count(key.GetString()) > 0)
                write(key.GetString(), std::nullopt, 0);
        }
        m_changed.notify_all();
        return { 200, "{\"rev\":" + std::to_string(m_revision) + "}" };
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::int64_t m_revision = 1;
    std::int64_t m_lastLease = 0;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_events;
    std::map<std::int64_t, Lease> m_leases;
    std::atomic<bool> m_stopped { false };
    std::thread m_thread;
};

} // namespace sim
