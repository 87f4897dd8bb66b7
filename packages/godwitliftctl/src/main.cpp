/// \file
/// Command line of godwitliftctl.
#include "Commands.h"
#include "ReviewCommand.h"

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <functional>
#include <iostream>

namespace {

using godwitlift::Commands;
using godwitlift::ExitCode;

/// Values of the options of all subcommands, and the action of the chosen one.
struct CommandLine
{
    std::string nodeAddress = "127.0.0.1:7403";
    std::string token;
    std::string outputFormat = "text";
    std::string path;
    std::string requestId;
    std::vector<std::string> logFiles;
    std::string planFile;
    std::string host;
    bool undoDrain = false;
    bool noWait = false;
    std::uint64_t version = 0;
    std::optional<std::uint64_t> afterVersion;
    int waitSeconds = 60;
    godwitlift::ConfirmOptions confirmOptions;
    godwitlift::ReviewOptions reviewOptions;
    std::function<ExitCode(const Commands &)> action;

    godwitlift::OutputFormat format() const
    {
        return outputFormat == "json" ? godwitlift::OutputFormat::Json
                                      : godwitlift::OutputFormat::Text;
    }
};

void addPlanCommands(CLI::App &app, CommandLine &commandLine)
{
    CLI::App *check = app.add_subcommand("check", "Validate an intent file or directory");
    check->add_option("path", commandLine.path, "File or directory")->required();
    check->footer("For a configuration of mesh nodes, use `review`.\n"
                  "Example: godwitliftctl check intents/");
    check->callback([&commandLine] {
        commandLine.action = [&commandLine](const Commands &) {
            return Commands::check(commandLine.path);
        };
    });

    CLI::App *plan = app.add_subcommand("plan", "Show what an intent would change");
    plan->add_option("path", commandLine.path,
                     "File with an intent, or directory with the complete desired configuration")
            ->required();
    plan->add_option("--save", commandLine.planFile,
                     "Also write the plan to this file, for confirm");
    plan->footer("Examples: godwitliftctl plan intents/ --save plan.json\n"
                 "          godwitliftctl plan new-route.json --save plan.json");
    plan->callback([&commandLine] {
        commandLine.action = [&commandLine](const Commands &commands) {
            return commands.plan(commandLine.path, commandLine.planFile);
        };
    });

    CLI::App *diff = app.add_subcommand(
            "diff", "Show how a directory differs from the configuration in force");
    diff->add_option("directory", commandLine.path,
                     "Directory with the complete desired configuration")
            ->required();
    diff->footer("Example: godwitliftctl diff intents/");
    diff->callback([&commandLine] {
        commandLine.action = [&commandLine](const Commands &commands) {
            return commands.diff(commandLine.path);
        };
    });

    CLI::App *rollback =
            app.add_subcommand("rollback", "Plan to restore an older version's content");
    rollback->add_option("version", commandLine.version, "Version to restore")->required();
    rollback->add_option("--save", commandLine.planFile,
                         "Also write the plan to this file, for confirm");
    rollback->footer("Example: godwitliftctl rollback 41 --save plan.json");
    rollback->callback([&commandLine] {
        commandLine.action = [&commandLine](const Commands &commands) {
            return commands.planRollback(commandLine.version, commandLine.planFile);
        };
    });

    CLI::App *drain = app.add_subcommand("drain", "Plan to drain one host");
    drain->add_option("host", commandLine.host,
                      "Host whose backend servers receive no new requests")
            ->required();
    drain->add_flag("--undo", commandLine.undoDrain, "Plan to end the drain");
    drain->add_option("--save", commandLine.planFile,
                      "Also write the plan to this file, for confirm");
    drain->footer("Example: godwitliftctl drain liberties-2 --save plan.json");
    drain->callback([&commandLine] {
        commandLine.action = [&commandLine](const Commands &commands) {
            return commands.planDrain(commandLine.host, commandLine.undoDrain,
                                      commandLine.planFile);
        };
    });
}

void addConfirmCommand(CLI::App &app, CommandLine &commandLine)
{
    CLI::App *confirm = app.add_subcommand("confirm", "Publish a plan");
    confirm->add_option("plan", commandLine.confirmOptions.planFile, "Plan file written by --save")
            ->required();
    confirm->add_option("--operation", commandLine.confirmOptions.operationId,
                        "Operation id of an earlier confirm whose answer was lost");
    confirm->add_option("--note", commandLine.confirmOptions.note,
                        "Reason, recorded in the history");
    confirm->add_flag("--yes", commandLine.confirmOptions.skipPrompt, "Confirm without asking");
    confirm->add_flag("--no-wait", commandLine.noWait,
                      "Do not wait until the version is in force on every host");
    confirm->add_option("--wait-seconds", commandLine.waitSeconds,
                        "Longest wait until the version is in force, in seconds")
            ->check(CLI::Range(1, 3600));
    confirm->footer("Example: godwitliftctl confirm plan.json --note 'evening roster' --yes");
    confirm->callback([&commandLine] {
        commandLine.action = [&commandLine](const Commands &commands) {
            commandLine.confirmOptions.waitUntilInForce = !commandLine.noWait;
            commandLine.confirmOptions.waitTimeout = absl::Seconds(commandLine.waitSeconds);
            return commands.confirm(commandLine.confirmOptions);
        };
    });
}

void addQueryCommands(CLI::App &app, CommandLine &commandLine)
{
    app.add_subcommand("show", "Print the configuration in force at the node")
            ->callback([&commandLine] {
                commandLine.action = [](const Commands &commands) { return commands.show(); };
            })
            ->footer("Example: godwitliftctl show");
    app.add_subcommand("status", "Print the configuration versions of the hosts by zone")
            ->callback([&commandLine] {
                commandLine.action = [](const Commands &commands) { return commands.status(); };
            })
            ->footer("Example: godwitliftctl status --output json");
    CLI::App *history = app.add_subcommand("history", "Print published versions");
    history->add_option("--after", commandLine.afterVersion, "Print only versions after this one");
    history->footer("Example: godwitliftctl history --after 100");
    history->callback([&commandLine] {
        commandLine.action = [&commandLine](const Commands &commands) {
            return commands.history(commandLine.afterVersion);
        };
    });
}

void addExplainCommand(CLI::App &app, CommandLine &commandLine)
{
    CLI::App *explain = app.add_subcommand(
            "explain", "Show the timeline and outcome of a request, from nodes' logs");
    explain->add_option("request", commandLine.requestId, "Id of the request")->required();
    explain->add_option("logs", commandLine.logFiles, "Log files of nodes, or - for standard input")
            ->required();
    explain->footer("Exit code 1 if no line mentions the request.\n"
                    "Example: godwitliftctl explain 9c41d07be2a35f68 node-*.log");
    explain->callback([&commandLine] {
        commandLine.action = [&commandLine](const Commands &commands) {
            return commands.explain(commandLine.requestId, commandLine.logFiles);
        };
    });
}

void addReviewCommand(CLI::App &app, CommandLine &commandLine)
{
    CLI::App *review = app.add_subcommand(
            "review", "Check a configuration of mesh nodes before it is sent; contacts nobody");
    review->add_option("file", commandLine.reviewOptions.file,
                       "Configuration as it will be written to the store, or - for standard input")
            ->required();
    review->add_option("--in-force", commandLine.reviewOptions.inForceFile,
                       "File with the version in force; also shows what differs from it");
    review->add_option("--settings", commandLine.reviewOptions.settingsFile,
                       "Settings file of a node; also shows what they contradict");
    review->footer(
            "Exit codes: 0 nothing found, 1 warnings only, 2 errors, or a file that cannot be "
            "read.\n"
            "Example: godwitliftctl review new.json --in-force current.json");
    review->callback([&commandLine] {
        commandLine.action = [&commandLine](const Commands &) {
            return godwitlift::review(commandLine.reviewOptions,
                                      godwitlift::Printer(commandLine.format()));
        };
    });
}

} // namespace

int main(int argc, char **argv)
{
    CommandLine commandLine;
    CLI::App app("godwitliftctl: plan, confirm and inspect a mesh's configuration");
    app.require_subcommand(1);
    app.fallthrough();
    app.set_version_flag("--version", "godwitliftctl 0.1.0");
    app.add_option("--node", commandLine.nodeAddress, "Address of any node's operator API, IP:port")
            ->envname("GODWITLIFT_NODE");
    app.add_option("--token", commandLine.token, "Operator's token")->envname("GODWITLIFT_TOKEN");
    app.add_option("--output", commandLine.outputFormat, "Output format")
            ->check(CLI::IsMember({ "text", "json" }));
    app.footer("Exit codes: 0 done, 1 failure or unknown outcome, 2 invalid input, "
               "3 conflict with another operator's change,\n"
               "4 published but not in force on every host before the timeout.\n"
               "`review` has exit codes of its own; see its help.");
    addPlanCommands(app, commandLine);
    addConfirmCommand(app, commandLine);
    addQueryCommands(app, commandLine);
    addExplainCommand(app, commandLine);
    addReviewCommand(app, commandLine);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : static_cast<int>(ExitCode::InvalidInput);
    }
    const Commands commands(godwitlift::ApiClient({ commandLine.nodeAddress, commandLine.token }),
                            godwitlift::Printer(commandLine.format()));
    return static_cast<int>(commandLine.action(commands));
}
