// Command line of operators and callers.

#include "CtlCall.h"
#include "CtlCommand.h"
#include "CtlFlags.h"
#include "CtlOutput.h"
#include "CtlRequest.h"

#include <lycheeledge/protocol/ApiCodec.h>
#include <lycheeledge/protocol/JsonObject.h>

#include <fmt/format.h>

#include <cstdlib>
#include <iostream>
#include <sstream>

using namespace lycheeledge;
using namespace lycheeledge::ctl;

namespace {

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');) {
        while (!part.empty() && part.back() == '/')
            part.pop_back();
        if (!part.empty())
            parts.push_back(part);
    }
    return parts;
}

std::string usage(const ApiSchema& schema)
{
    std::string text
        = "Calls lycheeledge.\n\n"
          "  lycheectl --server=URL[,URL...] --key=ID.SECRET COMMAND [--PARAMETER=VALUE...]\n\nCommands:\n";
    for (const auto& method : schema.methods()) {
        const auto dot = method.find('.');
        text += fmt::format("  {:<18}{}\n", method.substr(0, dot) + " " + method.substr(dot + 1),
            (*schema.description(method))["summary"].GetString());
    }
    text += "  submit, status, cancel are short for work submit, work status, work cancel.\n"
            "  explain JOB         Prints one line on why a piece of work waits.\n\n";
    text += exitCodeHelp + std::string("\nFlags:\n");
    for (const auto& flag : ctlFlags())
        text += fmt::format("  --{:<22}{} ({})\n", flag.name, flag.description, flag.type);
    return text;
}

int fail(const ApiError& error)
{
    std::cerr << fmt::format(
        "lycheectl: {} ({}, {})\n", ctl::detail::printable(error.message), toString(error.kind), toString(error.run));
    return exitCode(error);
}

int failUsage(const std::string& message)
{
    std::cerr << fmt::format("lycheectl: {}. See lycheectl --help.\n", message);
    return WrongUsage;
}

/** @brief Generates what the caller left out and prints it before the call, so that the call can be repeated. */
void generateMissing(ParamsBuilder& builder, const Command& command)
{
    auto generate = [&builder](const char* name, const std::string& flag, const std::string& label) {
        if (!builder.hasParameter(name) || isGiven(flag))
            return;
        const std::string text = randomText();
        std::cerr << fmt::format("{}: {}\n", label, text);
        builder.set(name, text);
    };
    generate("idempotencyKey", "idempotency_key", "idempotency key");
    generate("secret", "secret", "secret");
    if (!command.job.empty())
        builder.set("requestId", command.job);
    else if (command.method == "work.submit")
        generate("requestId", "request_id", "request id");
}

int print(const Command& command, const RpcResponse& response)
{
    if (!response.ok())
        return fail(response.error());
    const auto& result = response.result();
    if (command.method == "work.submit") {
        WorkResult decoded;
        if (const auto error = decodeWorkResult(result, decoded))
            return fail(*error);
    }
    if (command.explain)
        std::cout << fmt::format("{}: {}\n", lycheeledge::detail::string(result, "phase"),
            ctl::detail::printable(lycheeledge::detail::string(result, "reason", "no reason given")));
    else
        std::cout << (FLAGS_json ? formatJson(result) : formatTable(result));
    return Success;
}

int run(const std::vector<std::string>& words, const ApiSchema& schema)
{
    const auto command = parseCommand(words, schema);
    if (!command)
        return failUsage("no such command");
    ParamsBuilder builder(*schema.description(command->method));
    builder.takeFlags();
    if (const auto unused = builder.unusedFlags(); !unused.empty())
        return failUsage(fmt::format("--{} does not apply to {}", unused.front(), command->method));
    generateMissing(builder, *command);
    auto params = builder.take();
    // An identity that was generated just now cannot have been seen by any owner.
    if (command->method == "work.submit" && !isGiven("request_id") && !isGiven("attempt"))
        params.AddMember("attempt", 1, params.GetAllocator());
    if (const auto error = schema.checkParams(command->method, params))
        return fail(*error);

    const char* environmentKey = std::getenv("LYCHEELEDGE_KEY");
    CallSettings settings { split(FLAGS_server), FLAGS_key, std::chrono::milliseconds(FLAGS_timeout_ms),
        std::chrono::milliseconds(FLAGS_call_timeout_ms) };
    if (settings.key.empty() && environmentKey != nullptr)
        settings.key = environmentKey;
    if (settings.servers.empty() || FLAGS_timeout_ms < 1 || FLAGS_call_timeout_ms < 1)
        return failUsage("--server, --timeout_ms and --call_timeout_ms must not be empty or 0");
    HttpClient client;
    return print(*command, Caller(client, std::move(settings)).call(command->method, std::move(params)));
}

} // namespace

int main(int argc, char** argv)
{
    const ApiSchema schema;
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    // gflags ends --help with exit code 1 and lists the flags of all libraries.
    if (isGiven("help") || isGiven("helpshort") || (argc == 2 && std::string(argv[1]) == "help")) {
        std::cout << usage(schema);
        return Success;
    }
    gflags::HandleCommandLineHelpFlags();
    return run({ argv + 1, argv + argc }, schema);
}
