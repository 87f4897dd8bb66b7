/// \file
/// Runs the stand-alone node, which uses the project's own protocols.
#include "Commands.h"

#include "godwitlift/adapters/EventLog.h"
#include "godwitlift/adapters/NodeRuntime.h"

#include <csignal>
#include <iostream>

namespace godwitlift {

namespace {

/// Blocks the termination signals in all threads, so that only sigwait() receives them.
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

int runUntilSignal(NodeSettings settings)
{
    const sigset_t signals = blockSignals();
    startEventLog(settings.identity.host.value());
    std::string errorText;
    auto node =
            valueOrErrorText([&] { return NodeRuntime::start(std::move(settings)); }, errorText);
    if (!node) {
        std::cerr << "godwitliftd: " << errorText << "\n";
        return ExitStartFailed;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    return (*node)->shutdownGracefully() ? ExitOk : ExitRequestsInProgress;
}

} // namespace

int runStandAloneNode(const std::string &settingsFile, bool checkOnly)
{
    std::string text;
    if (!readTextFile(settingsFile, text))
        return ExitInvalidInput;
    std::string errorText;
    auto settings = valueOrErrorText([&] { return decodeNodeSettings(text); }, errorText);
    if (!settings) {
        std::cerr << settingsFile << ": " << errorText << "\n";
        return ExitInvalidInput;
    }
    if (checkOnly) {
        std::cout << settingsFile << ": ok\n";
        return ExitOk;
    }
    return runUntilSignal(std::move(*settings));
}

} // namespace godwitlift
