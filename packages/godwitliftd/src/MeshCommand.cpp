/// \file
/// Runs the mesh node on the deployment platform.
#include "Commands.h"

#include "godwitlift/node/MeshNode.h"
#include "godwitlift/platform_binding/PlatformBinding.h"

#include <csignal>
#include <iostream>

namespace godwitlift {

int runMeshNode(const std::string &settingsFile, bool checkOnly)
{
    const std::string path = settingsFile.empty() ? platformSettingsPath() : settingsFile;
    std::string text;
    if (!readTextFile(path, text))
        return ExitBadInput;
    std::string problem;
    auto settings = valueOrErrorText([&] { return decodeMeshSettings(text); }, problem);
    if (!settings) {
        std::cerr << path << ": " << problem << "\n";
        return ExitBadInput;
    }
    if (checkOnly) {
        std::cout << path << ": ok\n";
        return ExitOk;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const auto protocol = createPlatformProtocol();
    auto node = valueOrErrorText(
            [&] { return MeshNode::create(std::move(*settings), *protocol, path); }, problem);
    if (!node) {
        std::cerr << "godwitliftd: " << problem << "\n";
        return ExitStartFailed;
    }
    return (*node)->run() ? ExitOk : ExitRequestsInProgress;
}

} // namespace godwitlift
