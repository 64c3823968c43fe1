// Simulated cluster of the job scheduler: members, store, workers and VMs on one manually advanced clock.
#pragma once

#include "FakeClusterStore.h"
#include "FakeJobWorkers.h"
#include "FakeVms.h"
#include "ManualRuntime.h"

#include <lycheeledge/jobs/EntryNode.h>
#include <lycheeledge/protocol/CerealRecordCodec.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lycheeledge::test {

/** @brief Counts log events by name, and prints them if the environment variable SHOW_EVENTS is set. */
class RecordingLog final : public jobs::EventLog {
public:
    void record(std::string_view event, std::initializer_list<jobs::LogField> fields) override
    {
        ++counts[std::string(event)];
        if (std::getenv("SHOW_EVENTS") == nullptr)
            return;
        std::cerr << event;
        for (const auto& field : fields) {
            std::cerr << ' ' << field.name << '=';
            std::visit([](const auto& value) { std::cerr << value; }, field.value);
        }
        std::cerr << std::endl;
    }
    std::map<std::string, std::size_t> counts;
};

/**
 * @brief Decodes platform records by lookup: a stored value is the name of an object that the test registered here.
 * Other values of workers go to `decodeWorker`.
 */
class FakePlatformRecords final : public jobs::PlatformRecords {
public:
    std::map<std::string, jobs::ClusterConfiguration> configurations;
    std::map<std::string, jobs::WorkerRecord> workers;
    std::function<absl::StatusOr<jobs::WorkerRecord>(const StoreEntry&)> decodeWorker
        = [](const StoreEntry&) { return absl::InvalidArgumentError("unreadable"); };

    std::string operatorPrefix() const override { return "operator/"; }
    std::string configurationKey() const override { return "operator/configuration"; }
    std::string workerPrefix() const override { return "workers/"; }
    absl::StatusOr<jobs::ClusterConfiguration> configuration(const StoreEntry& entry) const override
    {
        auto result = configurations.at(entry.value);
        result.revision = entry.modRevision;
        return result;
    }
    std::map<std::string, jobs::MaintenanceWave> waves;
    std::string wavePrefix() const override { return "operator/wave/"; }
    absl::StatusOr<jobs::MaintenanceWave> wave(const StoreEntry& entry) const override
    {
        const auto it = waves.find(entry.value);
        if (it == waves.end())
            return absl::InvalidArgumentError("unreadable");
        return it->second;
    }
    std::string evacuationPrefix() const override { return "operator/evacuate/"; }
    std::string waveStateKey(std::uint64_t wave) const override { return "state/" + std::to_string(wave); }
    std::string waveState(bool completed) const override { return completed ? "completed" : "running"; }
    absl::StatusOr<jobs::WorkerRecord> worker(const StoreEntry& entry) const override
    {
        const auto it = workers.find(entry.value);
        return it == workers.end() ? decodeWorker(entry) : it->second;
    }
};

/** @brief Decodes a submission by looking up its body in `specs`. */
class FakeSubmissionCodec final : public jobs::SubmissionCodec {
public:
    std::map<std::string, jobs::JobSpec> specs;
    absl::StatusOr<jobs::JobSpec> decode(std::string_view body) const override
    {
        const auto it = specs.find(std::string(body));
        if (it == specs.end())
            return absl::InvalidArgumentError("malformed");
        return it->second;
    }
};

/** @brief Connections between members. The connections of a terminated member are closed. */
class FakeMemberNetwork {
public:
    explicit FakeMemberNetwork(ManualRuntime& runtime)
        : m_runtime(runtime)
    {
    }

    /// Members whose messages, sent or received, are lost. Their connections seem to be open.
    std::set<std::string> cutOff;

    class Port;

private:
    struct ConnectionEnd {
        Port* port = nullptr;
        jobs::MemberConnection peer = 0;
    };

    ManualRuntime& m_runtime;
    std::map<std::string, Port*> m_ports; ///< by host
    std::map<jobs::MemberConnection, ConnectionEnd> m_connectionEnds;
    jobs::MemberConnection m_nextConnection = 1;
};

class FakeMemberNetwork::Port final : public jobs::MemberPort {
public:
    /** @param process runs the listener's callbacks. */
    Port(FakeMemberNetwork& network, std::string host, ProcessRuntime& process)
        : m_network(network)
        , m_host(std::move(host))
        , m_process(process)
    {
        m_network.m_ports[m_host] = this;
    }
    ~Port() override { disconnect(); }
    /** @brief Unregisters the port and closes all of its connections. */
    void disconnect()
    {
        if (m_network.m_ports[m_host] == this)
            m_network.m_ports.erase(m_host);
        closeAll();
    }
    void closeAll()
    {
        std::vector<jobs::MemberConnection> own;
        for (const auto& [id, end] : m_network.m_connectionEnds) {
            if (end.port == this)
                own.push_back(id);
        }
        for (const auto id : own)
            close(id);
    }
    Port(const Port&) = delete;
    Port& operator=(const Port&) = delete;

    jobs::MemberListener* listener = nullptr;

    jobs::MemberConnection connect(const std::string& host, std::uint16_t) override
    {
        const auto own = m_network.m_nextConnection++;
        const auto it = m_network.m_ports.find(host);
        if (it == m_network.m_ports.end()) {
            m_network.m_connectionEnds[own] = { this, 0 };
            notifyClosed(own);
            return own;
        }
        const auto other = m_network.m_nextConnection++;
        m_network.m_connectionEnds[own] = { this, other };
        m_network.m_connectionEnds[other] = { it->second, own };
        return own;
    }

    void send(jobs::MemberConnection connection, const jobs::MemberMessage& message) override
    {
        const auto it = m_network.m_connectionEnds.find(connection);
        if (it == m_network.m_connectionEnds.end())
            return;
        const auto peer = it->second.peer;
        const auto receiver = m_network.m_connectionEnds.find(peer);
        if (m_network.cutOff.contains(m_host)
            || (receiver != m_network.m_connectionEnds.end()
                && m_network.cutOff.contains(receiver->second.port->m_host)))
            return;
        // Encoded and decoded, so that every test also checks that messages survive the codec.
        const std::string bytes = encodeMemberMessage(message);
        m_network.m_runtime.after(std::chrono::milliseconds(4), [network = &m_network, peer, bytes] {
            const auto end = network->m_connectionEnds.find(peer);
            if (end == network->m_connectionEnds.end())
                return;
            Port* port = end->second.port;
            port->m_process.deliver(
                [port, peer, bytes] { port->listener->received(peer, *decodeMemberMessage(bytes)); });
        });
    }

    void close(jobs::MemberConnection connection) override
    {
        const auto it = m_network.m_connectionEnds.find(connection);
        if (it == m_network.m_connectionEnds.end())
            return;
        const auto peer = it->second.peer;
        m_network.m_connectionEnds.erase(it);
        const auto other = m_network.m_connectionEnds.find(peer);
        if (other != m_network.m_connectionEnds.end())
            other->second.port->notifyClosed(peer);
    }

private:
    void notifyClosed(jobs::MemberConnection connection)
    {
        m_network.m_runtime.after(std::chrono::milliseconds(4), [network = &m_network, connection] {
            const auto it = network->m_connectionEnds.find(connection);
            if (it == network->m_connectionEnds.end())
                return;
            Port* port = it->second.port;
            network->m_connectionEnds.erase(it);
            port->m_process.deliver([port, connection] { port->listener->closed(connection); });
        });
    }

    FakeMemberNetwork& m_network;
    std::string m_host;
    ProcessRuntime& m_process;
};

/** @brief Configuration with one pool, an urgent and a batch queue, and account "account-1" with key "key-1". */
inline jobs::ClusterConfiguration simpleConfiguration()
{
    jobs::ClusterConfiguration result;
    result.version = 1;
    jobs::QueuePolicy urgent;
    urgent.name = "urgent";
    urgent.host = "host";
    urgent.prefix = "/urgent/";
    urgent.pool = "pool";
    urgent.maxAttempts = 3;
    urgent.objectiveFactor = 1.5;
    urgent.latencyObjective = std::chrono::milliseconds(300);
    jobs::QueuePolicy batch = urgent;
    batch.name = "batch";
    batch.prefix = "/batch/";
    batch.priority = 2;
    result.queues = { urgent, batch };
    jobs::ClientAccount account;
    account.id = jobs::AccountId("account-1");
    account.keys = { "key-1" };
    account.weight = 10;
    result.accounts = { account };
    return result;
}

inline jobs::StepSpec simpleStep(std::uint32_t tasks, std::int64_t milliCpu, std::vector<std::uint32_t> after = {})
{
    jobs::StepSpec step;
    step.taskCount = tasks;
    step.request.milliCpu = milliCpu;
    step.request.memoryMb = 100;
    step.estimatedRunTime = std::chrono::milliseconds(500);
    step.after = std::move(after);
    return step;
}

inline Resources capacityOf(std::int64_t milliCpu)
{
    Resources result;
    result.milliCpu = milliCpu;
    result.memoryMb = 100000;
    return result;
}

/** @brief Formats a number as a job id: 16 digits, padded with zeros. */
inline std::string jobName(std::uint64_t n)
{
    std::string digits = std::to_string(n);
    return std::string(16 - digits.size(), '0') + digits;
}

class JobCluster {
public:
    explicit JobCluster(std::size_t members, std::uint64_t seed = 1)
        : runtime(seed)
        , store(runtime)
        , workers(runtime)
        , vms(runtime)
        , admission(runtime)
        , m_network(runtime)
    {
        setConfiguration(simpleConfiguration());
        for (std::size_t i = 0; i < members; ++i)
            startMember("m" + std::to_string(i));
    }

    ManualRuntime runtime;
    FakeClusterStore store;
    FakeJobWorkers workers;
    FakeVms vms;
    FakeAdmission admission;
    FakePlatformRecords records;
    FakeSubmissionCodec submissions;
    RecordingLog log;
    jobs::EntryNodeSettings settings;
    std::map<std::string, std::int64_t> clockOffsetsMs; ///< of the members' wall clocks

    void setConfiguration(const jobs::ClusterConfiguration& configuration)
    {
        const std::string name = "c" + std::to_string(++m_lastConfiguration);
        records.configurations[name] = configuration;
        store.put(records.configurationKey(), name);
    }

    void addWorker(const std::string& id, std::int64_t milliCpu, const std::string& rack = "r1")
    {
        registerWorker(workers.add(id, capacityOf(milliCpu), rack));
    }
    void registerWorker(const jobs::WorkerRecord& record)
    {
        const std::string name = record.id.value() + "#" + std::to_string(++m_lastRegistration);
        records.workers[name] = record;
        store.put(records.workerPrefix() + record.id.value(), name);
    }
    void unregisterWorker(const std::string& id) { store.erase(records.workerPrefix() + id); }

    /** @brief Sends the orders of one member to the workers. Responses arrive in the member's process. */
    class MemberWorkerPort final : public jobs::WorkerPort {
    public:
        MemberWorkerPort(FakeJobWorkers& workers, ProcessRuntime& process)
            : m_workers(workers)
            , m_process(process)
        {
        }
        /// Workers that this member cannot reach. Its calls to them end without a response.
        std::function<bool(const std::string& worker)> isCutOff = [](const std::string&) { return false; };
        /// Workers whose address belongs to another one, as far as this member can reach.
        std::function<bool(const std::string& worker)> isReplaced = [](const std::string&) { return false; };
        std::size_t starts = 0; ///< start orders that this member sent
        void start(const jobs::WorkerTarget& to, const jobs::StartOrder& order, Duration timeout,
            std::function<void(jobs::OrderResult)> done) override
        {
            ++starts;
            if (!loses(to, timeout, done))
                m_workers.start(to, order, timeout, onProcess(std::move(done)));
        }
        void stop(const jobs::WorkerTarget& to, const jobs::StopOrder& order, Duration timeout,
            std::function<void(jobs::OrderResult)> done) override
        {
            if (!loses(to, timeout, done))
                m_workers.stop(to, order, timeout, onProcess(std::move(done)));
        }
        void pace(const jobs::WorkerTarget& to, const jobs::PaceOrder& order, Duration timeout,
            std::function<void(jobs::OrderResult)> done) override
        {
            if (!loses(to, timeout, done))
                m_workers.pace(to, order, timeout, onProcess(std::move(done)));
        }
        void poll(const jobs::WorkerTarget& to, const jobs::PollRequest& request, Duration timeout,
            std::function<void(jobs::PollResult)> done) override
        {
            if (!loses(to, request.wait + timeout, done))
                m_workers.poll(to, request, timeout, onProcess(std::move(done)));
        }

    private:
        template <typename T>
        bool loses(const jobs::WorkerTarget& to, Duration timeout, const std::function<void(T)>& done)
        {
            if (isReplaced(to.id.value())) {
                T result;
                result.outcome = jobs::OrderOutcome::OtherIncarnation;
                m_process.after(std::chrono::milliseconds(4), [done, result] { done(result); });
                return true;
            }
            if (!isCutOff(to.id.value()))
                return false;
            m_process.after(timeout, [done] { done({}); });
            return true;
        }
        template <typename T> std::function<void(T)> onProcess(std::function<void(T)> done)
        {
            return [process = &m_process, done = std::move(done)](
                       const T& result) { process->deliver([done, result] { done(result); }); };
        }

        FakeJobWorkers& m_workers;
        ProcessRuntime& m_process;
    };

    /** @brief Sends the calls of one member to the VM provider. Responses arrive in the member's process. */
    class MemberVmPort final : public jobs::VmPort {
    public:
        MemberVmPort(FakeVms& vms, ProcessRuntime& process)
            : m_vms(vms)
            , m_process(process)
        {
        }
        void list(
            const std::string& page, Duration timeout, std::function<void(absl::StatusOr<jobs::VmPage>)> done) override
        {
            m_vms.list(page, timeout, [process = &m_process, done = std::move(done)](const auto& result) {
                process->deliver([done, result] { done(result); });
            });
        }
        void beginMaintenance(const jobs::MaintenanceOrder& order, Duration timeout,
            std::function<void(jobs::MaintenanceOutcome)> done) override
        {
            m_vms.beginMaintenance(order, timeout, [process = &m_process, done = std::move(done)](auto outcome) {
                process->deliver([done, outcome] { done(outcome); });
            });
        }

    private:
        FakeVms& m_vms;
        ProcessRuntime& m_process;
    };

    struct Member {
        explicit Member(JobCluster& cluster, const std::string& name, std::uint64_t incarnation)
            : runtime(cluster.runtime)
            , store(cluster.store, name, runtime)
            , network(std::make_unique<FakeMemberNetwork::Port>(cluster.m_network, name, runtime))
            , workers(cluster.workers, runtime)
            , vms(cluster.vms, runtime)
            , node({ runtime, store, cluster.records, cluster.codec, cluster.submissions, workers, vms,
                       cluster.admission, *network, cluster.log,
                       [&cluster, name] { return cluster.unixMs() + cluster.clockOffsetsMs[name]; } },
                  { .member = name, .incarnation = incarnation, .epoch = 0, .host = name, .port = 1 }, cluster.settings)
        {
            network->listener = &node.memberListener();
        }

        ProcessRuntime runtime;
        FakeClusterStore::Port store;
        std::unique_ptr<FakeMemberNetwork::Port> network;
        MemberWorkerPort workers;
        MemberVmPort vms;
        jobs::EntryNode node;
    };

    Member& startMember(const std::string& name)
    {
        auto& member = m_members[name] = std::make_unique<Member>(*this, name, ++m_lastIncarnation);
        member->node.start();
        return *member;
    }
    /** @brief Terminates the process at once. None of its tasks run from now on. */
    void kill(const std::string& name)
    {
        const auto node = m_members.extract(name);
        if (node.empty())
            return;
        node.mapped()->runtime.kill();
        node.mapped()->network->disconnect();
        m_killedMembers.push_back(std::move(node.mapped()));
    }
    /** @brief Closes all connections of a member; new ones work. */
    void resetConnections(const std::string& name) { m_members.at(name)->network->closeAll(); }
    /** @brief Cuts a member off from the other members and the store, or reconnects it. */
    void setCutOff(const std::string& name, bool isCutOff)
    {
        store.setFault(name, isCutOff ? FakeClusterStore::Fault::Silent : FakeClusterStore::Fault::None);
        if (isCutOff)
            m_network.cutOff.insert(name);
        else if (m_network.cutOff.erase(name) > 0)
            resetConnections(name);
    }
    Member& member(const std::string& name) { return *m_members.at(name); }
    std::vector<std::string> memberNames() const
    {
        std::vector<std::string> names;
        for (const auto& [name, member] : m_members)
            names.push_back(name);
        return names;
    }
    std::optional<std::string> owner() const
    {
        for (const auto& [name, member] : m_members) {
            if (member->node.lease().isOwner() && member->node.session().isActive())
                return name;
        }
        return std::nullopt;
    }

    /** @brief Advances the clock in small steps, and processes the workers' due events after each step. */
    void advance(Duration duration)
    {
        constexpr Duration step = std::chrono::milliseconds(5);
        for (Duration passed {}; passed < duration; passed += step) {
            runtime.advance(step);
            workers.settle();
        }
    }
    /** @brief Advances the clock until the condition holds. @return false if it does not hold within `limit`. */
    bool waitFor(const std::function<bool()>& condition, Duration limit = std::chrono::seconds(30))
    {
        constexpr Duration step = std::chrono::milliseconds(10);
        for (Duration passed {}; passed < limit; passed += step) {
            if (condition())
                return true;
            advance(step);
        }
        return condition();
    }

    /** @brief Sends a client call to a member. The result stays empty until the reply arrives. */
    std::shared_ptr<std::optional<jobs::ClientReply>> call(const std::string& name, jobs::CallVerb verb,
        const std::string& path, const std::string& body = {}, const std::string& key = "key-1")
    {
        auto reply = std::make_shared<std::optional<jobs::ClientReply>>();
        jobs::ClientCall call {
            .verb = verb, .host = "host", .path = path, .key = key, .timeoutMs = 3000, .body = body
        };
        member(name).node.handle(call, [reply](const jobs::ClientReply& given) { *reply = given; });
        return reply;
    }
    /** @brief Submits a job and waits up to 4 s for the reply. @return whether the job was accepted. */
    bool submit(const std::string& name, const std::string& queue, std::uint64_t job, const jobs::JobSpec& spec)
    {
        const std::string body = "body-" + std::to_string(job);
        submissions.specs[body] = spec;
        const auto reply = call(name, jobs::CallVerb::Submit, "/" + queue + "/" + jobName(job), body);
        waitFor([&] { return reply->has_value(); }, std::chrono::seconds(4));
        return reply->has_value() && (*reply)->kind == jobs::ReplyKind::Accepted;
    }
    /** @brief Reads the state of a job as a client does. Empty if no state was returned within 200 ms. */
    std::optional<jobs::JobState> state(const std::string& name, const std::string& queue, std::uint64_t job)
    {
        const auto reply = call(name, jobs::CallVerb::Read, "/" + queue + "/" + jobName(job));
        waitFor([&] { return reply->has_value(); }, std::chrono::milliseconds(200));
        if (!reply->has_value() || (*reply)->kind != jobs::ReplyKind::State)
            return std::nullopt;
        return (*reply)->state;
    }
    bool waitForState(
        std::uint64_t job, const std::string& queue, jobs::JobState wanted, Duration limit = std::chrono::seconds(30))
    {
        return waitFor(
            [&] { return !m_members.empty() && state(m_members.begin()->first, queue, job) == wanted; }, limit);
    }

    std::int64_t unixMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(runtime.now().time_since_epoch()).count();
    }

    CerealRecordCodec codec;

private:
    FakeMemberNetwork m_network;
    std::map<std::string, std::unique_ptr<Member>> m_members;
    std::vector<std::unique_ptr<Member>> m_killedMembers; ///< kept alive, because pending callbacks refer to them
    std::uint64_t m_lastIncarnation = 0;
    int m_lastConfiguration = 0;
    int m_lastRegistration = 0;
};

} // namespace lycheeledge::test
