/// \file
/// The node's command line.
#include "godwitlift/adapters/EventLog.h"
#include "godwitlift/adapters/NodeRuntime.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadInput = 2;
constexpr int ExitUnclean = 3;

std::optional<godwitlift::NodeSettings> readSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": cannot be read\n";
        return std::nullopt;
    }
    const std::string text{ std::istreambuf_iterator<char>(file), {} };
    std::string problem;
    auto settings =
            godwitlift::valueOr([&] { return godwitlift::decodeNodeSettings(text); }, problem);
    if (!settings)
        std::cerr << path << ": " << problem << "\n";
    return settings;
}

/// Blocks the signals that end the node in every thread; waitForSignal() takes them.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int run(godwitlift::NodeSettings settings)
{
    const sigset_t signals = blockSignals();
    godwitlift::startEventLog(settings.identity.host.value());
    std::string problem;
    auto node = godwitlift::valueOr(
            [&] { return godwitlift::NodeRuntime::start(std::move(settings)); }, problem);
    if (!node) {
        std::cerr << "godwitliftd: " << problem << "\n";
        return ExitFailed;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    return (*node)->shutdownGracefully() ? ExitOk : ExitUnclean;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("godwitliftd: the node that runs beside the backend servers of one host");
    app.footer("Exit codes: 0 stopped cleanly, 1 could not start, 2 bad settings or arguments, "
               "3 stopped with requests in progress.\n"
               "SIGTERM and SIGINT stop the node after the requests in progress have ended.");
    std::string settingsFile;
    std::string checkedFile;
    app.add_option("--settings", settingsFile, "JSON file with the node's settings");
    app.add_option("--check-settings", checkedFile, "Check a settings file and exit");
    app.set_version_flag("--version", "godwitliftd 0.1.0");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? ExitOk : ExitBadInput;
    }
    if (settingsFile.empty() == checkedFile.empty()) {
        std::cerr << "godwitliftd: give either --settings FILE or --check-settings FILE\n";
        return ExitBadInput;
    }
    auto settings = readSettings(settingsFile.empty() ? checkedFile : settingsFile);
    if (!settings)
        return ExitBadInput;
    if (!checkedFile.empty()) {
        std::cout << checkedFile << ": ok\n";
        return ExitOk;
    }
    return run(std::move(*settings));
}
