// The cases of the review that are scripts.

#include "Platform.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>

namespace standins {

// A gang of a submission that repeats completes while one of its executors is cut off for 5.5 s.
int gangOnCutExecutor(Record& record, bool trouble)
{
    static Platform platform(record, 2, 6);
    const std::string key = "key-a-1";
    if (!platform.start({ { "tenant-a", { key } } }))
        return 2;
    sleepMs(2000);
    Submission submission { .id = "00000000000000a1", .spec = encodeWork({ .taskMs = 1500, .gang = 2 }) };
    submission.step = { .count = 2, .gang = true, .antiAffinity = 1, .estRuntimeMs = 1500 };
    submission.repetitions = 9;
    submission.startAtMs = unixMs() + 1000;
    // After a takeover, the machines take an executor's longest lease for granted until 11 s after its first answer.
    submission.intervalMs = 12000;
    const int status = platform.submit(0, submission, key).status;
    record.line("submitted: " + std::to_string(status));
    if (status != 200)
        return 2;
    const auto isBroken = [] {
        int machines = 0;
        for (int i = 0; i < platform.entries.count(); ++i)
            machines += platform.entries.ownEnds(i) >= 3 ? 1 : 0;
        return machines >= 2;
    };
    for (int n = 0; n < submission.repetitions && !isBroken(); ++n) {
        const std::string gang = submission.id + "." + std::to_string(n) + ".0.";
        const bool atWork = await([&] { return platform.executors.atWork(gang).size() == 2; }, 14000);
        if (!atWork)
            record.line("occurrence " + std::to_string(n) + " isn't at work");
        if (!atWork || !trouble) {
            sleepMs(2000);
            continue;
        }
        sleepMs(200);
        const auto runs = platform.executors.atWork(gang);
        if (runs.size() != 2)
            continue;
        platform.executors.setCut(runs.back().executor, true);
        sleepMs(5500);
        platform.executors.setCut(runs.back().executor, false);
    }
    int ends = 0;
    for (int i = 0; i < platform.entries.count(); ++i)
        ends += platform.entries.ownEnds(i);
    record.line("processes ended by themselves: " + std::to_string(ends));
    platform.entries.end();
    return isBroken() ? 1 : 0;
}

// The machine that last wrote to the store is killed, and a tenant's key is taken away while another one takes over.
int refusedAfterTakeover(Record& record, bool trouble)
{
    static Platform platform(record, 3, 8);
    if (!platform.start({ { "tenant-a", { "key-a-0" } } }))
        return 2;
    sleepMs(2000);
    struct Sent {
        bool rejectedOnly = true;
        std::string answers;
    };
    static std::mutex mutex;
    static std::map<std::string, Sent> sent;
    static std::string key = "key-a-0";
    static std::atomic<bool> over { false };
    std::vector<std::thread> clients;
    clients.reserve(12);
    for (int c = 0; c < 12; ++c) {
        clients.emplace_back([&, c] {
            for (int n = 0; !over; ++n) {
                char id[17];
                std::snprintf(id, sizeof id, "%016x", 0xc00000 + c * 0x1000 + n);
                Submission submission { .id = id, .spec = encodeWork({ .taskMs = 100 }) };
                submission.step = { .count = 1, .cpu = 500, .estRuntimeMs = 100 };
                std::string used;
                {
                    const std::lock_guard lock(mutex);
                    used = key;
                }
                for (int attempt = 0; attempt < 4; ++attempt) {
                    const int machine = (c + attempt) % 3;
                    const int status = platform.submit(machine, submission, used).status;
                    record.line("POST " + submission.id + " to " + platform.entries.name(machine) + " with " + used
                        + " is answered " + std::to_string(status));
                    const std::lock_guard lock(mutex);
                    Sent& it = sent[id];
                    it.answers += " " + std::to_string(status);
                    const bool isRejected = status == 401 || status == 404 || status == 429 || status == 503;
                    it.rejectedOnly = it.rejectedOnly && isRejected;
                    // Only calls without an outcome are repeated.
                    if (isRejected || status == 200)
                        break;
                }
                sleepMs(20);
            }
        });
    }
    std::string next;
    for (int round = 1; round <= 10; ++round) {
        sleepMs(4000);
        next = "key-a-" + std::to_string(round);
        // The new key is there before the old one goes.
        platform.configure({ { "tenant-a", { key, next } } });
        sleepMs(2000);
        if (trouble) {
            const int writer = platform.entries.lastWriter();
            if (writer >= 0)
                platform.entries.kill(writer);
            sleepMs(200);
        }
        const std::string old = key;
        record.line(old + " is taken away");
        platform.configure({ { "tenant-a", { next } } });
        const std::lock_guard lock(mutex);
        key = next;
    }
    sleepMs(6000);
    over = true;
    for (auto& client : clients)
        client.join();
    sleepMs(3000);
    int broken = 0;
    for (const auto& [id, it] : sent) {
        const int starts = platform.executors.starts(id);
        if (!it.rejectedOnly || starts == 0)
            continue;
        ++broken;
        record.line(id + " was rejected (answers:" + it.answers + "), and has " + std::to_string(starts) + " starts");
    }
    record.line("submissions: " + std::to_string(sent.size()) + ", rejected and started: " + std::to_string(broken));
    platform.entries.end();
    return broken > 0 ? 1 : 0;
}

// One of two machines is removed. The store turns the other away for 9 s, and a key is taken away at once.
int keyWhileTurnedAway(Record& record, bool trouble)
{
    static Platform platform(record, 2, 2);
    if (!platform.start({ { "tenant-a", { "key-a-1", "key-a-2" } } }))
        return 2;
    sleepMs(2000);
    Submission submission { .id = "00000000000000d1", .spec = encodeWork({ .taskMs = 60000 }), .step = {} };
    submission.step = { .count = 1, .estRuntimeMs = 60000 };
    const int leader = platform.entries.lastWriter();
    if (leader < 0)
        return 2;
    const int status = platform.submit(leader, submission, "key-a-1").status;
    record.line("POST " + submission.id + " with key-a-1 to " + platform.entries.name(leader) + " is answered "
        + std::to_string(status));
    if (status != 200)
        return 2;
    if (trouble)
        platform.entries.remove(1 - leader);
    sleepMs(5000);
    platform.store.setSilent(trouble);
    platform.configure({ { "tenant-a", { "key-a-2" } } });
    const std::int64_t confirmedAt = steadyMs();
    record.line("key-a-1 is taken away" + std::string(trouble ? ", the store turns the machine away" : ""));
    std::thread end([&] {
        sleepMs(9000);
        platform.store.setSilent(false);
        record.line("the store answers the machine again");
    });
    sleepMs(confirmedAt + 5050 - steadyMs()); // revokeMs, and a little more
    int broken = 0;
    while (steadyMs() < confirmedAt + 12000) {
        const std::int64_t sentAfter = steadyMs() - confirmedAt;
        const int answer = platform.submit(leader, submission, "key-a-1").status;
        record.line("POST with key-a-1, sent " + std::to_string(sentAfter) + " ms after the confirmation, is answered "
            + std::to_string(answer));
        broken += answer == 200 ? 1 : 0;
        sleepMs(200);
    }
    end.join();
    record.line("calls with key-a-1 that ran: " + std::to_string(broken));
    platform.entries.end();
    return broken > 0 ? 1 : 0;
}

// The machine that last wrote to the store freezes for 3.2 s. Submissions that were accepted elsewhere meanwhile are
// cancelled over channels that clients had open to the frozen machine.
int cancelAtFrozenMachine(Record& record, bool trouble)
{
    constexpr int clients = 12;
    static Platform platform(record, 3, 4);
    const std::string key = "key-a-1";
    if (!platform.start({ { "tenant-a", { key } } }))
        return 2;
    int broken = 0;
    for (int round = 0; round < 6; ++round) {
        sleepMs(3500);
        const int frozen = platform.entries.lastWriter();
        if (frozen < 0)
            return 2;
        struct Client {
            std::unique_ptr<Channel> channel;
            Submission submission;
            bool isAccepted = false;
            int answer = 0;
        };
        std::vector<Client> all(clients);
        for (int c = 0; c < clients; ++c) {
            char id[17];
            std::snprintf(id, sizeof id, "%016x", 0xe000 + round * 0x100 + c);
            Client& it = all[static_cast<std::size_t>(c)];
            it.submission = { .id = id, .spec = encodeWork({ .taskMs = 2000 }), .step = {} };
            it.submission.step = { .count = 8, .cpu = 16000, .estRuntimeMs = 2000 };
            it.channel = platform.entries.open(frozen);
            (void)it.channel->call(Platform::request("GET", "", key), 1000);
        }
        record.line(std::to_string(clients) + " channels to " + platform.entries.name(frozen) + " are open");
        if (trouble)
            platform.entries.freeze(frozen, true);
        const std::int64_t frozenAt = steadyMs();
        for (auto& it : all) {
            it.isAccepted = await(
                [&] {
                    sleepMs(20);
                    return platform.submit((frozen + 1) % 3, it.submission, key).status == 200;
                },
                frozenAt + 2800 - steadyMs());
            record.line("POST " + it.submission.id + " to " + platform.entries.name((frozen + 1) % 3)
                + " is accepted: " + (it.isAccepted ? "yes" : "no"));
        }
        sleepMs(frozenAt + 2900 - steadyMs());
        std::vector<std::thread> threads;
        threads.reserve(all.size());
        for (auto& it : all) {
            threads.emplace_back([&] {
                record.line("DELETE " + it.submission.id + " is sent over the open channel");
                it.answer = it.channel->call(Platform::request("DELETE", it.submission.id, key), 3000).status;
                record.line("DELETE " + it.submission.id + " is answered " + std::to_string(it.answer));
            });
        }
        sleepMs(frozenAt + 3200 - steadyMs());
        if (trouble)
            platform.entries.freeze(frozen, false);
        for (auto& it : threads)
            it.join();
        sleepMs(3100); // cancel_ms, and a little more
        std::vector<int> before;
        before.reserve(all.size());
        for (const auto& it : all)
            before.push_back(platform.executors.starts(it.submission.id));
        sleepMs(3000);
        for (int c = 0; c < clients; ++c) {
            const Client& it = all[static_cast<std::size_t>(c)];
            const int later = platform.executors.starts(it.submission.id) - before[static_cast<std::size_t>(c)];
            if (!it.isAccepted || (it.answer != 200 && it.answer != 410) || later == 0)
                continue;
            ++broken;
            record.line(it.submission.id + " was cancelled with answer " + std::to_string(it.answer)
                + ", starts more than 3 s later: " + std::to_string(later)
                + ", state: " + platform.state(it.submission.id, key));
        }
        for (const auto& it : all)
            (void)platform.call((frozen + 1) % 3, "DELETE", it.submission.id, key);
    }
    record.line("acknowledged cancels that were not carried out: " + std::to_string(broken));
    platform.entries.end();
    return broken > 0 ? 1 : 0;
}

} // namespace standins
