// An executor crashes and boots again under its id, as another kind. Tasks that require its former kind are waiting.
#include "../standins-3/system.h"

using namespace sim;

namespace {

struct Watch : Observer {
    std::mutex mutex;
    std::string executor; ///< the one that changes its kind
    bool isOther = false;
    int wrong = 0;
    void started(const std::string& where, const std::string& task, std::int64_t run) override
    {
        const std::lock_guard lock(mutex);
        if (where != executor || !isOther)
            return;
        ++wrong;
        record("%s run %lld requires kind b and starts on %s, which is of kind a", task.c_str(),
            static_cast<long long>(run), where.c_str());
    }
};

} // namespace

int main(int, char** argv)
{
    beginCase(argv[1]);
    Folder folder;
    Store store(loopback(100));
    Watch watch;
    watch.executor = "i-0";
    store.put("op/config", configuration(3, batchRoute));
    std::vector<std::unique_ptr<Executor>> executors;
    for (int i = 0; i < 4; ++i)
        executors.push_back(std::make_unique<Executor>(loopback(20 + i), store, watch,
            Executor::Description { .id = "i-" + std::to_string(i), .kind = i < 2 ? "b" : "a" }));
    auto entries = startEntries(3, folder, store);
    if (entries.empty())
        return notRun;
    sleepMs(1500);
    for (int n = 0; n < 6; ++n) {
        const std::string path = "/batch/00000000000000b" + std::to_string(n);
        const char* spec = R"({"spec":"ms=2000","steps":[{"count":12,"cpu":16000,"memMb":11000,"estRuntimeMs":2000,)"
                           R"("requires":"b"}]})";
        if (client(*entries[1], "POST", path, spec).status != 200)
            return notRun;
    }
    sleepMs(4000);
    if (trouble()) {
        executors[0]->crash();
        auto next = executors[0]->description();
        next.kind = "a";
        executors[0]->describe(next);
        {
            const std::lock_guard lock(watch.mutex);
            watch.isOther = true;
        }
        sleepMs(1000);
        executors[0]->boot(); // writes its entry in the registry at once
    }
    sleepMs(6000);
    const std::lock_guard lock(watch.mutex);
    record("%d starts on an executor without the label that the step requires", watch.wrong);
    if (watch.wrong > 0)
        record("broken: ROUTE");
    return watch.wrong > 0 ? broken : held;
}
