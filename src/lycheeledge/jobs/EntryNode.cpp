// One member: the owner, or a forwarder of calls to it.

#include "EntryNode.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    constexpr RelayId thisProcess = 0;
    constexpr Duration lagInterval = std::chrono::milliseconds(100);
    constexpr int lagSamples = 10; // of the mean

    // A new owner waits as long as an earlier one may go on ordering.
    JobSchedulerSettings schedulerSettings(const EntryNodeSettings& settings)
    {
        JobSchedulerSettings result = settings.scheduler;
        result.ownerConfirmation = settings.lease.confirmationLimit;
        return result;
    }

    OwnerLeaseSettings leaseSettings(const EntryNodeSettings& settings)
    {
        OwnerLeaseSettings result = settings.lease;
        result.cpuShare = settings.cpuShare;
        return result;
    }

} // namespace

EntryNode::EntryNode(Ports ports, OwnerRecord self, const EntryNodeSettings& settings)
    : m_runtime(ports.runtime)
    , m_resignLimit(settings.resignLimit)
    , m_cpuShare(settings.cpuShare)
    , m_yield(settings.yield)
    , m_members(ports.members)
    , m_admission(ports.admission)
    , m_log(ports.log)
    , m_desk(m_runtime, *this)
    , m_lease(m_runtime, ports.store, m_log, self, leaseSettings(settings))
    , m_link(m_runtime, m_members, m_admission, m_log, Hello { self.member, settings.cpuShare }, settings.link)
    , m_session({ m_runtime, ports.store, ports.records, ports.codec, ports.submissions, ports.workers, ports.vms,
                    m_desk, m_log, m_lease, self.member, ports.unixMs, [this] { activated(); } },
          schedulerSettings(settings), settings.service, settings.ledger, settings.maintenance, settings.session)
{
    m_lease.setListener(this);
    m_desk.addRelay(thisProcess);
}

void EntryNode::start()
{
    m_lease.start();
    measureLag(m_runtime.now());
}

bool EntryNode::isReady() const { return m_lease.isOwner() ? m_session.isActive() : m_link.isReady(); }

void EntryNode::handle(const ClientCall& call, JobService::Reply reply)
{
    if (m_lease.isOwner())
        m_session.handle(call, std::move(reply));
    else
        m_link.forward(call, std::move(reply));
}

void EntryNode::resign(std::function<void()> done)
{
    if (!m_lease.isOwner()) {
        m_lease.resign();
        m_runtime.post(std::move(done));
        return;
    }
    giveUp([this, done = std::move(done)] {
        m_lease.resign();
        done();
    });
}

// Whichever comes first; what is not stored then is forwarded to the next owner or read from the workers.
void EntryNode::giveUp(std::function<void()> release)
{
    const auto once = [release = std::move(release), finished = std::make_shared<bool>(false)] {
        if (!std::exchange(*finished, true))
            release();
    };
    m_session.flush(once);
    m_runtime.after(m_resignLimit, once);
}

// A member that says hello follows this owner: its process has stopped ordering, or is another one on the same VM.
void EntryNode::noteEarlierOwners()
{
    const auto& earlier = m_lease.earlierOwners();
    if (std::includes(m_helloFrom.begin(), m_helloFrom.end(), earlier.begin(), earlier.end()))
        m_session.earlierOwnersStopped();
}

// --- Yielding to another member ---

void EntryNode::measureLag(TimePoint due)
{
    const Duration late = m_runtime.now() - due;
    m_lag += (late - m_lag) / lagSamples;
    if (m_lease.isOwner())
        considerYield();
    const TimePoint next = m_runtime.now() + lagInterval;
    m_runtime.after(lagInterval, [this, next] { measureLag(next); });
}

void EntryNode::considerYield()
{
    double largestMember = 0;
    for (const auto& [connection, share] : m_followers)
        largestMember = std::max(largestMember, share);
    const YieldSituation situation {
        .owning = m_runtime.now() - m_ownerSince, .cpuShare = m_cpuShare, .largestMember = largestMember, .lag = m_lag
    };
    const YieldReason reason = shouldYield(situation, m_yield);
    if (reason == YieldReason::None || !m_session.isActive() || std::exchange(m_givingUp, true))
        return;
    const bool slow = reason == YieldReason::SlowVm;
    m_log.record("ownership_yielding",
        { { "epoch", m_lease.epoch() }, { "reason", slow ? "slow VM" : "small VM" },
            { "lag_ms", std::chrono::duration<double, std::milli>(m_lag).count() }, { "cpu_share", m_cpuShare },
            { "largest_member", largestMember } });
    giveUp([this, slow, epoch = m_lease.epoch()] {
        if (m_lease.isOwner() && m_lease.epoch() == epoch)
            m_lease.yield(slow ? "the VM is slow" : "the VM is small", slow ? m_yield.slowPause : m_yield.smallPause);
    });
}

void EntryNode::ownershipGained(Epoch epoch, const std::string& headValue, Revision headRevision)
{
    m_ownerSince = m_runtime.now();
    m_givingUp = false;
    m_helloFrom.clear();
    m_link.setOwner(std::nullopt);
    m_session.begin(epoch, headValue, headRevision);
    noteEarlierOwners();
}

void EntryNode::ownershipLost(const char*)
{
    auto unfinished = m_session.end();
    for (const auto& [connection, share] : std::exchange(m_followers, {})) {
        m_desk.removeRelay(connection);
        m_members.close(connection);
    }
    m_questions.clear();
    m_link.setOwner(m_lease.owner());
    for (auto& call : unfinished)
        m_link.adopt(std::move(call.call), call.deadline, std::move(call.reply));
}

void EntryNode::ownerChanged(const std::optional<OwnerRecord>& owner)
{
    // While nobody holds the record, its last holder may still be the owner, and take it back.
    if (!m_lease.isOwner() && owner)
        m_link.setOwner(owner);
}

double EntryNode::largestCpuShare() const
{
    double result = std::max(m_cpuShare, m_link.largestCpuShare());
    for (const auto& [connection, share] : m_followers)
        result = std::max(result, share);
    return result;
}

void EntryNode::welcome(MemberConnection connection)
{
    m_members.send(connection, Welcome { m_lease.epoch(), m_session.isActive(), largestCpuShare() });
}

void EntryNode::welcomeMembers()
{
    for (const auto& [connection, share] : m_followers)
        welcome(connection);
}

void EntryNode::activated()
{
    welcomeMembers();
    for (auto& call : m_link.takeCalls()) {
        const ClientCall waiting = withPatienceLeft(std::move(call.call), call.deadline, m_runtime.now());
        m_session.handle(waiting, std::move(call.reply));
    }
}

void EntryNode::received(MemberConnection connection, const MemberMessage& message)
{
    if (m_link.owns(connection)) {
        m_link.received(connection, message);
        return;
    }
    if (!m_lease.isOwner()) {
        m_members.close(connection); // the member knows an earlier owner; it looks again
        return;
    }
    if (const auto* hello = std::get_if<Hello>(&message)) {
        m_helloFrom.insert(hello->member);
        noteEarlierOwners();
        const double largest = largestCpuShare();
        if (m_followers.emplace(connection, hello->cpuShare).second)
            m_desk.addRelay(connection);
        m_log.record("member_connected", { { "member", hello->member }, { "members", m_followers.size() } });
        welcome(connection);
        if (hello->cpuShare > largest)
            welcomeMembers();
    } else if (const auto* call = std::get_if<CallMessage>(&message)) {
        m_session.handle(call->call, [this, connection, id = call->id](ClientReply reply) {
            m_members.send(connection, CallReply { id, std::move(reply) });
        });
    } else if (const auto* reply = std::get_if<AdmissionReply>(&message)) {
        if (reply->answered)
            answered(reply->id, reply->grants);
        else
            answered(reply->id, absl::UnavailableError(reply->error));
    } else if (const auto* ping = std::get_if<Ping>(&message)) {
        if (!ping->reply)
            m_members.send(connection, Ping { ping->number, true });
    }
}

void EntryNode::closed(MemberConnection connection)
{
    if (m_link.owns(connection)) {
        m_link.closed(connection);
        return;
    }
    if (m_followers.erase(connection) == 0)
        return;
    m_desk.removeRelay(connection);
    std::vector<std::uint64_t> lost;
    for (const auto& [id, question] : m_questions) {
        if (question.relay == connection)
            lost.push_back(id);
    }
    for (const auto id : lost)
        answered(id, absl::UnavailableError("the connection to the member closed"));
}

void EntryNode::ask(RelayId relay, const AdmissionQuestion& question, Duration timeout, Done done)
{
    if (relay == thisProcess) {
        m_admission.ask(thisProcess, question, timeout, std::move(done));
        return;
    }
    const std::uint64_t id = ++m_nextQuestion;
    m_questions[id] = { relay, std::move(done) };
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
    m_members.send(relay, AdmissionMessage { id, question, ms });
    m_runtime.after(timeout, [this, id] { answered(id, absl::DeadlineExceededError("no answer from the member")); });
}

void EntryNode::answered(std::uint64_t id, const absl::StatusOr<std::vector<AdmissionGrant>>& grants)
{
    auto node = m_questions.extract(id);
    if (!node.empty())
        node.mapped().done(grants);
}

} // namespace lycheeledge::jobs
