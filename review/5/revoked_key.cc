// The store turns the last entry machine away, and the operator takes a key away meanwhile. A client sends a submission
// again that was accepted before, with that key.
//
// Broken if a call that was sent later than `revokeMs` after the confirmation is answered with success.

#include "../sim/Deployment.h"

#include <iostream>

using namespace review;

namespace {

constexpr int couldNotRun = 2;
constexpr Milliseconds turnedAway { 9000 }; // longest in the site file
constexpr Milliseconds revokeLimit { 5000 }; // `revokeMs`
constexpr Milliseconds takeover { 6000 };

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3)
        return couldNotRun;
    const bool trouble = std::string(argv[2]) != "0";
    Deployment deployment(argv[1], 6);
    Record& record = deployment.record;
    if (!deployment.start())
        return couldNotRun;
    deployment.entries[1]->stop(SIGKILL);
    record.line("the machine of " + deployment.entries[1]->name() + " is removed for good");
    std::this_thread::sleep_for(takeover);

    Entry& entry = *deployment.entries[0];
    const std::string path = "/lohu930/" + submissionId(0x5c0e7a21d94b36f8);
    const std::string body
        = "{\"spec\":\"ms=640\",\"steps\":[{\"count\":4,\"cpu\":500,\"memMb\":256,\"estRuntimeMs\":640}]}";
    const auto first = entry.request("POST", path, body);
    record.line("POST " + path + ": " + (first ? std::to_string(first->status) : "no answer"));
    if (!first || first->status != 200)
        return couldNotRun;

    std::atomic<bool> away { trouble };
    deployment.store.setFilter([&away](const Request&) -> std::optional<Response> {
        return away ? std::optional(Response { 503, "{}" }) : std::nullopt;
    });
    const auto begin = Clock::now();
    if (trouble)
        record.line("the store turns the system's machine away");
    std::this_thread::sleep_for(Milliseconds(500));
    std::string withoutKey = configuration(2, 2);
    const std::string key = "review-key-1";
    withoutKey.replace(withoutKey.find(key), key.size(), "review-key-2");
    deployment.store.put("op/config", withoutKey);
    const auto confirmed = Clock::now();
    record.line("version 2 is confirmed; it takes " + key + " away");
    int served = 0;
    while (Clock::now() < begin + turnedAway) {
        const bool late = Clock::now() > confirmed + revokeLimit;
        const auto response = entry.request("POST", path, body);
        const std::string answer = response ? std::to_string(response->status) : "no answer";
        record.line((late && answer == "200" ? "BROKEN " : "") + std::string("POST ") + path + " with " + key + ": "
            + answer + (late ? ", sent later than revokeMs" : ""));
        served += late && answer == "200" ? 1 : 0;
        std::this_thread::sleep_for(Milliseconds(500));
    }
    away = false;
    record.line("the store serves the machine again");
    record.line(std::to_string(served) + " calls were answered with success after the key's limit");
    std::cout << served << " calls were answered with success after the key's limit\n";
    return served > 0 ? 1 : 0;
}
