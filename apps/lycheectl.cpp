// Command-line client for operators and callers.

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

std::vector<std::string> splitServers(const std::string& text)
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
        = "Command-line client of lycheeledge.\n\n"
          "  lycheectl --server=URL[,URL...] --key=ID.SECRET COMMAND [--PARAMETER=VALUE...]\n\nCommands:\n";
    for (const auto& method : schema.methods()) {
        const auto dot = method.find('.');
        text += fmt::format("  {:<18}{}\n", method.substr(0, dot) + " " + method.substr(dot + 1),
            (*schema.description(method))["summary"].GetString());
    }
    text += "  submit, status and cancel are short for work submit, work status and work cancel.\n"
            "  explain JOB         Prints in one line the phase of a job and the reason for it.\n\n";
    text += exitCodeHelp + std::string("\nFlags:\n");
    for (const auto& flag : ctlFlags())
        text += fmt::format("  --{:<22}{} ({})\n", flag.name, flag.description, flag.type);
    return text;
}

int reportError(const ApiError& error)
{
    std::cerr << fmt::format(
        "lycheectl: {} ({}, {})\n", ctl::detail::printable(error.message), toString(error.kind), toString(error.run));
    return exitCode(error);
}

int reportUsageError(const std::string& message)
{
    std::cerr << fmt::format("lycheectl: {}. See lycheectl --help.\n", message);
    return UsageError;
}

/** @brief Generates ids and secrets that were not given, and prints them first, so that the call can be repeated. */
void generateMissingParams(ParamsBuilder& builder, const Command& command)
{
    auto generate = [&builder](const char* name, const std::string& flag, const std::string& label) {
        if (!builder.hasParameter(name) || isFlagGiven(flag))
            return;
        const std::string text = randomHexId();
        std::cerr << fmt::format("{}: {}\n", label, text);
        builder.set(name, text);
    };
    generate("idempotencyKey", "idempotency_key", "idempotency key");
    generate("secret", "secret", "secret");
    if (!command.requestId.empty())
        builder.set("requestId", command.requestId);
    else if (command.method == "work.submit")
        generate("requestId", "request_id", "request id");
}

int printResponse(const Command& command, const RpcResponse& response)
{
    if (!response.ok())
        return reportError(response.error());
    const auto& result = response.result();
    if (command.method == "work.submit") {
        WorkResult decoded;
        if (const auto error = decodeWorkResult(result, decoded))
            return reportError(*error);
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
        return reportUsageError("unknown command");
    ParamsBuilder builder(*schema.description(command->method));
    builder.addFlags();
    if (const auto unused = builder.unusedFlags(); !unused.empty())
        return reportUsageError(fmt::format("--{} does not apply to {}", unused.front(), command->method));
    generateMissingParams(builder, *command);
    auto params = builder.take();
    // A newly generated request id has not been sent to any owner before, so this is its first attempt.
    if (command->method == "work.submit" && !isFlagGiven("request_id") && !isFlagGiven("attempt"))
        params.AddMember("attempt", 1, params.GetAllocator());
    if (const auto error = schema.checkParams(command->method, params))
        return reportError(*error);

    const char* environmentKey = std::getenv("LYCHEELEDGE_KEY");
    RpcClientSettings settings { splitServers(FLAGS_server), FLAGS_key, std::chrono::milliseconds(FLAGS_timeout_ms),
        std::chrono::milliseconds(FLAGS_call_timeout_ms) };
    if (settings.key.empty() && environmentKey != nullptr)
        settings.key = environmentKey;
    if (settings.servers.empty() || FLAGS_timeout_ms < 1 || FLAGS_call_timeout_ms < 1)
        return reportUsageError("--server must not be empty, and --timeout_ms and --call_timeout_ms must be positive");
    HttpClient client;
    return printResponse(
        *command, RetryingRpcClient(client, std::move(settings)).call(command->method, std::move(params)));
}

} // namespace

int main(int argc, char** argv)
{
    const ApiSchema schema;
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    // Handled here, since gflags exits with code 1 on --help and lists the flags of all libraries.
    if (isFlagGiven("help") || isFlagGiven("helpshort") || (argc == 2 && std::string(argv[1]) == "help")) {
        std::cout << usage(schema);
        return Success;
    }
    gflags::HandleCommandLineHelpFlags();
    return run({ argv + 1, argv + argc }, schema);
}
