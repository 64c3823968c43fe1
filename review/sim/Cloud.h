// Stand-in for the provider of the executors' machines: lists them, and takes them down for their upkeep.
#pragma once

#include "Executor.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

class Cloud {
public:
    /** @param bootId returns the id of the next life of an executor. */
    Cloud(const std::string& host, Record& record, std::function<std::string()> bootId)
        : m_record(record)
        , m_bootId(std::move(bootId))
        , m_server(host, [this](const Request& request) { return handle(request); })
    {
        m_server.up();
    }
    ~Cloud()
    {
        m_server.down();
        for (auto& thread : m_upkeeps)
            thread.join();
    }
    Cloud(const Cloud&) = delete;
    Cloud& operator=(const Cloud&) = delete;

    void add(const std::string& machine, Executor& executor)
    {
        const std::lock_guard lock(m_mutex);
        m_machines[machine] = { &executor, "up", {} };
    }
    void defineWave(std::int64_t wave, std::set<std::string> machines)
    {
        const std::lock_guard lock(m_mutex);
        m_waves[wave] = std::move(machines);
    }
    std::string address() const { return m_server.address(); }
    /** @brief Called before each call is carried out; a response that it returns is sent instead. */
    std::function<std::optional<Response>(const Request&)> filter;

    /** @brief Machines of the wave that have begun their upkeep in it. */
    std::set<std::string> begun(std::int64_t wave) const
    {
        const std::lock_guard lock(m_mutex);
        std::set<std::string> result;
        for (const auto& [name, machine] : m_machines) {
            if (machine.waves.contains(wave))
                result.insert(name);
        }
        return result;
    }

private:
    struct Machine {
        Executor* executor = nullptr;
        std::string state;
        std::set<std::int64_t> waves; ///< in which its upkeep has begun
    };

    Response handle(const Request& request)
    {
        if (filter) {
            if (const auto instead = filter(request))
                return *instead;
        }
        const std::lock_guard lock(m_mutex);
        if (request.path == "/v1/machines")
            return list();
        if (request.path == "/v1/machine-upkeep")
            return upkeep(request);
        return { 400, "{}" };
    }

    Response list() const
    {
        std::string rows;
        for (const auto& [name, machine] : m_machines) {
            const auto& settings = machine.executor->settings();
            rows += std::string(rows.empty() ? "" : ",") + "{\"machine\":" + quoted(name)
                + ",\"pool\":" + quoted(settings.service) + ",\"state\":" + quoted(machine.state) + ",\"zone\":"
                + quoted(settings.zone) + ",\"labels\":[\"a\"," + quoted(settings.rack) + "],\"capacity\":{\"cpu\":"
                + std::to_string(settings.cpu) + ",\"memMb\":" + std::to_string(settings.memMb) + ",\"gpu\":0},\"id\":"
                + (machine.state == "up" ? quoted(machine.executor->id()) : std::string("\"\"")) + "}";
        }
        return { 200, "{\"machines\":[" + rows + "],\"nextToken\":null}" };
    }

    Response upkeep(const Request& request)
    {
        const auto body = parse(request.body);
        const std::string name = text(body, "machine");
        const std::int64_t wave = number(body, "wave");
        const auto it = m_machines.find(name);
        if (it == m_machines.end())
            return { 400, "{}" };
        const auto answer = [&](int status, const char* reason) {
            m_record.line("order  upkeep of " + name + " in wave " + std::to_string(wave) + ": "
                + std::to_string(status) + " " + reason);
            return Response { status, std::string("{\"reason\":\"") + reason + "\"}" };
        };
        if (!m_waves.contains(wave) || !m_waves.at(wave).contains(name))
            return answer(409, "wave");
        if (it->second.waves.contains(wave))
            return answer(200, "already");
        if (it->second.state != "up")
            return answer(409, "busy");
        it->second.waves.insert(wave);
        it->second.state = "upkeep";
        m_upkeeps.emplace_back([this, name, executor = it->second.executor] {
            executor->crash();
            executor->unregister();
            std::this_thread::sleep_for(Milliseconds(2000)); // `maintenanceS`
            executor->boot(m_bootId());
            const std::lock_guard guard(m_mutex);
            m_machines.at(name).state = "up";
        });
        return answer(200, "begun");
    }

    Record& m_record;
    std::function<std::string()> m_bootId;
    mutable std::mutex m_mutex;
    std::map<std::string, Machine> m_machines;
    std::map<std::int64_t, std::set<std::string>> m_waves;
    std::vector<std::thread> m_upkeeps;
    Server m_server;
};

} // namespace review
