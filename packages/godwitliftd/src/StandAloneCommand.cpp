/// \file
/// The stand-alone node with the product's own interface.
#include "Commands.h"

#include "godwitlift/adapters/EventLog.h"
#include "godwitlift/adapters/NodeRuntime.h"

#include <csignal>
#include <iostream>

namespace godwitlift {

namespace {

/// Blocks the signals that end the node in every thread; sigwait() takes them.
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

int run(NodeSettings settings)
{
    const sigset_t signals = blockSignals();
    startEventLog(settings.identity.host.value());
    std::string problem;
    auto node = valueOrErrorText([&] { return NodeRuntime::start(std::move(settings)); }, problem);
    if (!node) {
        std::cerr << "godwitliftd: " << problem << "\n";
        return ExitFailed;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    return (*node)->shutdownGracefully() ? ExitOk : ExitUnclean;
}

} // namespace

int runStandAloneNode(const std::string &settingsFile, bool checkOnly)
{
    std::string text;
    if (!readTextFile(settingsFile, text))
        return ExitBadInput;
    std::string problem;
    auto settings = valueOrErrorText([&] { return decodeNodeSettings(text); }, problem);
    if (!settings) {
        std::cerr << settingsFile << ": " << problem << "\n";
        return ExitBadInput;
    }
    if (checkOnly) {
        std::cout << settingsFile << ": ok\n";
        return ExitOk;
    }
    return run(std::move(*settings));
}

} // namespace godwitlift
