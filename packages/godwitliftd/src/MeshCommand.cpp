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
        return ExitInvalidInput;
    std::string errorText;
    auto settings = valueOrErrorText([&] { return decodeMeshSettings(text); }, errorText);
    if (!settings) {
        std::cerr << path << ": " << errorText << "\n";
        return ExitInvalidInput;
    }
    if (checkOnly) {
        std::cout << path << ": ok\n";
        return ExitOk;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const auto protocol = createPlatformProtocol();
    auto node = valueOrErrorText(
            [&] { return MeshNode::create(std::move(*settings), *protocol, path); }, errorText);
    if (!node) {
        std::cerr << "godwitliftd: " << errorText << "\n";
        return ExitStartFailed;
    }
    return (*node)->run() ? ExitOk : ExitRequestsInProgress;
}

} // namespace godwitlift
