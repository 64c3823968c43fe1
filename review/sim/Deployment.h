// A small deployment: two entry processes, executors and their machines, with one queue.
#pragma once

#include "Cloud.h"
#include "Executor.h"
#include "System.h"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace review {

struct Deployment {
    Deployment(const std::string& folder, int executors, int maxAttempts = 2)
        : record(folder + "/record.txt")
        , runs(record)
        , store(loopbackHost(100))
        , cloud(loopbackHost(101), record, [this] { return nextId(); })
    {
        store.put("op/config", configuration(1, maxAttempts));
        for (int n = 0; n < executors; ++n) {
            ExecutorSettings settings;
            settings.host = loopbackHost(110 + n);
            settings.service = "huvo11a";
            settings.rack = "r1-" + std::to_string(n / 6 + 1);
            settings.machine = "m-0a3f" + std::to_string(n + 1);
            fleet.push_back(std::make_unique<Executor>(settings, store, runs, record));
            cloud.add(settings.machine, *fleet.back());
            fleet.back()->boot(nextId());
        }
        for (int n = 1; n <= 2; ++n)
            entries.push_back(std::make_unique<Entry>(n, folder, store.address(), cloud.address(), record));
    }

    /** @brief Starts the entry processes. @return whether both are ready in time. */
    bool start()
    {
        for (auto& entry : entries)
            entry->start();
        const auto deadline = Clock::now() + Milliseconds(15000);
        while (!(entries[0]->isReady() && entries[1]->isReady())) {
            if (Clock::now() > deadline)
                return false;
            std::this_thread::sleep_for(Milliseconds(100));
        }
        std::this_thread::sleep_for(Milliseconds(3000)); // until both are in touch
        return true;
    }

    std::string nextId() { return "i-" + submissionId(0x7f3a0000 + static_cast<unsigned>(++lives)).substr(8); }

    Record record;
    Runs runs;
    Store store;
    std::atomic<int> lives { 0 };
    Cloud cloud;
    std::vector<std::unique_ptr<Executor>> fleet;
    std::vector<std::unique_ptr<Entry>> entries;
};

} // namespace review
