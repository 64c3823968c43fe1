// Stand-in of the provider of the executors' machines: the list, and orders of upkeep.
#pragma once

#include "executor.h"

namespace sim {

class Cloud {
public:
    struct Machine {
        Executor* executor = nullptr;
        std::set<std::int64_t> waves; ///< that the operator asked for it
        std::int64_t fence = 0; ///< highest one used for this machine
        std::set<std::int64_t> begunWaves; ///< whose upkeep has begun
        std::int64_t downFor = 0; ///< wave of the upkeep in progress
        std::int64_t downUntil = 0; ///< during upkeep
        std::string holder;
    };

    explicit Cloud(const std::string& ip)
        : server(ip, [this](const Request& request) { return handle(request); })
    {
        server.start();
        m_thread = std::thread([this] {
            while (!m_stopped) {
                advance();
                sleepMs(10);
            }
        });
    }
    ~Cloud()
    {
        m_stopped = true;
        m_thread.join();
        server.stop();
    }

    void add(const std::string& name, Executor& executor)
    {
        const std::lock_guard lock(m_mutex);
        m_machines[name].executor = &executor;
    }
    /** @brief The operator asks for the upkeep of these machines. */
    void beginWave(std::int64_t wave, const std::vector<std::string>& names)
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& name : names)
            m_machines.at(name).waves.insert(wave);
    }
    bool hadUpkeep(const std::string& name, std::int64_t wave)
    {
        const std::lock_guard lock(m_mutex);
        return m_machines.at(name).begunWaves.count(wave) > 0;
    }

    std::size_t mostDown(std::int64_t wave)
    {
        const std::lock_guard lock(m_mutex);
        return m_mostDown[wave];
    }

    /** @brief Called on each order of upkeep, before it is carried out; status 0 lets it pass. */
    std::function<Response()> fault;

    /** @brief Decides on an order of upkeep: time after which it is carried out without an answer; 0: at once. */
    std::function<std::int64_t(const std::string& machine)> lateMs;

    std::int64_t maintenanceMs = 2000;
    Server server;

private:
    struct LateOrder {
        std::int64_t at = 0;
        std::string machine;
        std::int64_t wave = 0;
        std::int64_t fence = 0;
        std::string holder;
    };

    std::size_t countDown(std::int64_t wave) const
    {
        return static_cast<std::size_t>(std::count_if(m_machines.begin(), m_machines.end(),
            [wave](const auto& it) { return it.second.downUntil > 0 && it.second.downFor == wave; }));
    }

    Response carryOut(
        const std::string& name, std::int64_t wave, std::int64_t fence, const std::string& holder, const char* note)
    {
        const auto it = m_machines.find(name);
        if (it == m_machines.end())
            return { 400, "{}" };
        Machine& machine = it->second;
        if (fence < machine.fence) {
            record("cloud: upkeep of %s by %s with fence %lld%s refused: fence", name.c_str(), holder.c_str(),
                static_cast<long long>(fence), note);
            return { 409, R"({"reason":"fence"})" };
        }
        machine.fence = fence;
        machine.holder = holder;
        if (machine.waves.count(wave) == 0)
            return { 409, R"({"reason":"wave"})" };
        if (machine.begunWaves.count(wave) > 0)
            return { 200, "{}" };
        if (machine.downUntil > 0)
            return { 409, R"({"reason":"busy"})" };
        const std::size_t down = countDown(wave);
        record("cloud: upkeep of %s begins, ordered by %s with fence %lld%s; %zu others of the wave are down",
            name.c_str(), holder.c_str(), static_cast<long long>(fence), note, down);
        machine.begunWaves.insert(wave);
        machine.downFor = wave;
        machine.downUntil = nowMs() + maintenanceMs;
        m_mostDown[wave] = std::max(m_mostDown[wave], down + 1);
        m_crashing.push_back(machine.executor);
        return { 200, "{}" };
    }

    void advance()
    {
        std::vector<Executor*> crashing;
        std::vector<Executor*> booting;
        {
            const std::lock_guard lock(m_mutex);
            const auto due = [](const LateOrder& it) { return it.at <= nowMs(); };
            for (const auto& it : m_late) {
                if (due(it))
                    carryOut(it.machine, it.wave, it.fence, it.holder, ", carried out late");
            }
            std::erase_if(m_late, due);
            crashing.swap(m_crashing);
            for (auto& [name, machine] : m_machines) {
                if (machine.downUntil == 0 || nowMs() < machine.downUntil)
                    continue;
                machine.downUntil = 0;
                booting.push_back(machine.executor);
            }
        }
        for (auto* executor : crashing)
            executor->crash();
        for (auto* executor : booting) {
            auto next = executor->description();
            next.id += "x";
            executor->describe(next);
            executor->boot();
        }
    }

    Response handle(const Request& request)
    {
        const std::lock_guard lock(m_mutex);
        if (request.path == "/v1/machines") {
            std::string machines;
            for (const auto& [name, machine] : m_machines) {
                const auto description = machine.executor->description();
                machines += (machines.empty() ? "" : ",") + ("{\"machine\":" + quote(name)) + ",\"pool\":"
                    + quote(description.service) + ",\"state\":\"" + (machine.downUntil > 0 ? "upkeep" : "up")
                    + "\",\"zone\":" + quote(description.zone) + ",\"labels\":[" + quote(description.kind) + ","
                    + quote(description.rack) + "],\"capacity\":{\"cpu\":" + std::to_string(description.cpu)
                    + ",\"memMb\":" + std::to_string(description.memMb) + ",\"gpu\":0},\"id\":" + quote(description.id)
                    + "}";
            }
            return { 200, "{\"machines\":[" + machines + "],\"nextToken\":\"\"}" };
        }
        if (request.path != "/v1/machine-upkeep")
            return { 404, "{}" };
        if (fault) {
            const Response response = fault();
            if (response.status != 0 || response.silent)
                return response;
        }
        rapidjson::Document body;
        body.Parse(request.body.c_str());
        const auto header = [&request](const char* name) {
            const auto it = request.headers.find(name);
            return it == request.headers.end() ? std::string() : it->second;
        };
        const std::string name = text(body, "machine");
        const std::int64_t fence = std::atoll(header("x-fence-token").c_str());
        if (const std::int64_t late = lateMs ? lateMs(name) : 0; late > 0) {
            record("cloud: order of upkeep of %s by %s gets no answer", name.c_str(), header("x-duty-holder").c_str());
            m_late.push_back({ nowMs() + late, name, integer(body, "wave"), fence, header("x-duty-holder") });
            return { 0, "", true };
        }
        return carryOut(name, integer(body, "wave"), fence, header("x-duty-holder"), "");
    }

    std::mutex m_mutex;
    std::map<std::string, Machine> m_machines;
    std::vector<LateOrder> m_late;
    std::vector<Executor*> m_crashing;
    std::map<std::int64_t, std::size_t> m_mostDown;
    std::atomic<bool> m_stopped { false };
    std::thread m_thread;
};

} // namespace sim
