/// \file
/// Command line of the node.
#include "Commands.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace godwitlift {

bool readTextFile(const std::string &path, std::string &text)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": cannot be read\n";
        return false;
    }
    text.assign(std::istreambuf_iterator<char>(file), {});
    return true;
}

#ifndef GODWITLIFT_HAS_ADAPTERS
int runStandAloneNode(const std::string &, bool)
{
    std::cerr << "godwitliftd: this build does not include the stand-alone node\n";
    return ExitStartFailed;
}
#endif

} // namespace godwitlift

int main(int argc, char **argv)
{
    CLI::App app("godwitliftd: the node that runs beside the backend servers of one host");
    app.footer("Exit codes: 0 stopped cleanly, 1 could not start, 2 invalid settings or arguments, "
               "3 stopped with requests in progress.\n"
               "SIGTERM and SIGINT stop the node after the requests in progress have ended.");
    std::string settingsFile;
    std::string checkedFile;
    app.add_option("--settings", settingsFile, "JSON file with the node's settings");
    app.add_option("--check-settings", checkedFile, "Check a settings file and exit");
    app.set_version_flag("--version", "godwitliftd 0.1.0");
    CLI::App *mesh =
            app.add_subcommand("mesh", "Run on the deployment platform, which supplies the "
                                       "path if --settings is missing");
    mesh->add_option("--settings", settingsFile, "JSON file with the node's settings");
    mesh->add_option("--check-settings", checkedFile, "Check a settings file and exit");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? godwitlift::ExitOk : godwitlift::ExitInvalidInput;
    }
    const bool checkOnly = !checkedFile.empty();
    if (mesh->parsed())
        return godwitlift::runMeshNode(checkOnly ? checkedFile : settingsFile, checkOnly);
    if (settingsFile.empty() == checkedFile.empty()) {
        std::cerr << "godwitliftd: give either --settings FILE or --check-settings FILE\n";
        return godwitlift::ExitInvalidInput;
    }
    return godwitlift::runStandAloneNode(checkOnly ? checkedFile : settingsFile, checkOnly);
}
