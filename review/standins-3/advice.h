// Stand-in of the service that says which executors may run a step: all of them, after its time.
#pragma once

#include "platform.h"

namespace sim {

class Advice {
public:
    /** @param decideMs time of a call. @param periodMs more for each executor named. */
    Advice(const std::string& ip, std::int64_t decideMs, double periodMs)
        : server(ip, [decideMs, periodMs](const Request& request) {
            rapidjson::Document body;
            body.Parse(request.body.c_str());
            if (request.path != "/v1/advise" || !body.IsObject())
                return Response { 400, "{}" };
            std::string good;
            for (const auto& worker : body["workers"].GetArray())
                good += (good.empty() ? "[" : ",[") + quote(worker.GetString()) + ",\"ticket\"]";
            sleepMs(decideMs + static_cast<std::int64_t>(periodMs * body["workers"].Size()));
            return Response { 200, "{\"good\":[" + good + "]}" };
        })
    {
        server.start();
    }
    ~Advice() { server.stop(); }

    Server server;
};

} // namespace sim
