// A small deployment: store, executors, entry machines, operator and clients.
#pragma once

#include "Entries.h"
#include "Executors.h"
#include "Store.h"

#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace standins {

struct Tenant {
    std::string name;
    std::vector<std::string> keys;
};

struct Step {
    int count = 1;
    int cpu = 1000;
    bool gang = false;
    int antiAffinity = 0;
    int estRuntimeMs = 1000;
};

struct Submission {
    std::string id;
    std::string spec;
    Step step {};
    int repetitions = 0;
    std::int64_t startAtMs = 0;
    std::int64_t intervalMs = 0;
};

class Platform {
public:
    Platform(Record& log, int entryMachines, int executorCount, const Bounds& bounds = {})
        : record(log)
        , executors(store, log, "svc", executorCount, bounds)
        , entries(store, log, entryMachines)
    {
    }

    /** @brief Starts everything with a first configuration. */
    bool start(const std::vector<Tenant>& tenants, int maxAttempts = 2)
    {
        m_maxAttempts = maxAttempts;
        if (!store.open() || !executors.open())
            return false;
        configure(tenants);
        return entries.start() && entries.awaitReady(15000);
    }

    std::string configuration(const std::vector<Tenant>& tenants)
    {
        std::string text;
        for (const auto& tenant : tenants) {
            std::string keys;
            for (const auto& key : tenant.keys)
                keys += std::string(keys.empty() ? "" : ",") + "\"" + key + "\"";
            text += std::string(text.empty() ? "" : ",") + "{\"name\":\"" + tenant.name + "\",\"apiKeys\":[" + keys
                + "],\"weight\":1,\"upperLimit\":{\"cpu\":0,\"memMb\":0,\"gpu\":0}}";
        }
        m_version += 3;
        return "{\"version\":" + std::to_string(m_version)
            + ",\"routes\":[{\"name\":\"r-a\",\"host\":\"jobs.example\",\"prefix\":\"/queue/\",\"kind\":\"unsafe\","
              "\"timeoutMs\":3000,\"targetLatencyMs\":300,\"priority\":0,\"service\":\"svc\",\"maxAttempts\":"
            + std::to_string(m_maxAttempts)
            + ",\"stretch\":1.5,\"noAuth\":false}],\"services\":[{\"name\":\"svc\",\"healthPath\":\"/health\","
              "\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"admissionCheck\":false,\"spare\":false}],"
              "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144},\"tenants\":["
            + text + "]}";
    }

    void configure(const std::vector<Tenant>& tenants) { store.put("op/config", configuration(tenants)); }

    static std::string body(const Submission& it)
    {
        std::string step = "{\"count\":" + std::to_string(it.step.count) + ",\"cpu\":" + std::to_string(it.step.cpu)
            + ",\"memMb\":256,\"estRuntimeMs\":" + std::to_string(it.step.estRuntimeMs);
        if (it.step.gang)
            step += ",\"gang\":true";
        if (it.step.antiAffinity > 0)
            step += ",\"antiAffinity\":" + std::to_string(it.step.antiAffinity);
        std::string text = "{\"spec\":\"" + it.spec + "\",\"steps\":[" + step + "}]";
        if (it.repetitions > 0)
            text += ",\"repetitions\":" + std::to_string(it.repetitions)
                + ",\"startAtMs\":" + std::to_string(it.startAtMs) + ",\"intervalMs\":" + std::to_string(it.intervalMs);
        return text + "}";
    }

    Response submit(int machine, const Submission& it, const std::string& key)
    {
        return call(machine, "POST", it.id, key, body(it));
    }

    Response call(int machine, const std::string& method, const std::string& id, const std::string& key,
        const std::string& text = {})
    {
        return entries.call(machine, request(method, id, key, text));
    }

    static Request request(
        const std::string& method, const std::string& id, const std::string& key, const std::string& text = {})
    {
        Request result { method, "/queue/" + id,
            { { "Host", "jobs.example" }, { "Authorization", "Bearer " + key }, { "X-Deadline-Ms", "3000" } }, text };
        if (!text.empty())
            result.headers["Content-Type"] = "application/json";
        return result;
    }

    /** @brief As a client asks for it, at any machine; empty without an answer, "410" for an unknown submission. */
    std::string state(const std::string& id, const std::string& key)
    {
        for (int i = 0; i < entries.count(); ++i) {
            const Response response = call(i, "GET", id, key);
            const std::size_t at = response.body.find("\"state\":\"");
            if (response.status == 200 && at != std::string::npos)
                return response.body.substr(at + 9, response.body.find('"', at + 9) - at - 9);
            if (response.status == 410)
                return "410";
        }
        return {};
    }

    Record& record;
    Store store;
    Executors executors;
    Entries entries;

private:
    int m_version = 7;
    int m_maxAttempts = 2;
};

inline void sleepMs(std::int64_t ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** @brief Waits until the condition holds. @return whether it did in time. */
template <typename Condition> bool await(const Condition& condition, std::int64_t limitMs)
{
    const std::int64_t end = steadyMs() + limitMs;
    while (!condition()) {
        if (steadyMs() > end)
            return false;
        sleepMs(5);
    }
    return true;
}

// Cases. Each returns 1 if the rule was broken, 0 if it held and 2 if the case could not run.
int gangOnCutExecutor(Record& record, bool trouble);
int refusedAfterTakeover(Record& record, bool trouble);
int keyWhileTurnedAway(Record& record, bool trouble);
int cancelAtFrozenMachine(Record& record, bool trouble);

} // namespace standins
