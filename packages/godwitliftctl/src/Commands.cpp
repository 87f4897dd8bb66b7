/// \file
/// The subcommands of godwitliftctl.
#include "Commands.h"

#include "IntentFiles.h"
#include "godwitlift/configuration/ConfigurationCodec.h"
#include "godwitlift/explain/RequestExplanation.h"

#include <absl/strings/str_format.h>
#include <absl/time/clock.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>

#include <unistd.h>

namespace godwitlift {

namespace {

using nlohmann::json;

constexpr absl::Duration StatusPollInterval = absl::Milliseconds(200);
constexpr int BadRequestStatus = 400;
constexpr int ConflictStatus = 409;

std::string makeOperationId()
{
    std::random_device randomDevice;
    return absl::StrFormat("op-%08x%08x", randomDevice(), randomDevice());
}

bool promptForConfirmation()
{
    std::cout << "Confirm this plan? [y/N] " << std::flush;
    std::string answer;
    std::getline(std::cin, answer);
    return answer == "y" || answer == "yes";
}

ExitCode reportInvalidInput(const std::string &errorText)
{
    std::cerr << "godwitliftctl: " << errorText << "\n";
    return ExitCode::InvalidInput;
}

std::optional<json> readPlanFile(const std::string &path, std::string &errorText)
{
    std::ifstream file(path);
    if (!file) {
        errorText = path + ": cannot be read";
        return std::nullopt;
    }
    const std::string text{ std::istreambuf_iterator<char>(file), {} };
    json plan = json::parse(text, nullptr, false);
    if (!plan.is_object() || !plan.contains("base") || !plan.contains("delta")
        || !plan.contains("changes_digest") || !plan.contains("changes")) {
        errorText = path + ": not a plan; create one with `godwitliftctl plan --save FILE`";
        return std::nullopt;
    }
    return plan;
}

} // namespace

ExitCode Commands::reportFailure(const ApiAnswer &answer)
{
    std::cerr << "godwitliftctl: " << answer.errorText() << "\n";
    if (answer.status == ConflictStatus)
        return ExitCode::Conflict;
    return answer.status == BadRequestStatus ? ExitCode::InvalidInput : ExitCode::Failed;
}

ExitCode Commands::check(const std::string &path)
{
    std::string errorText;
    if (std::filesystem::is_directory(path))
        valueOrErrorText([&] { return readIntentDirectory(path); }, errorText);
    else
        valueOrErrorText([&] { return readIntentFile(path); }, errorText);
    if (!errorText.empty())
        return reportInvalidInput(errorText);
    std::cout << path << ": ok\n";
    return ExitCode::Ok;
}

ExitCode Commands::plan(const std::string &path, const std::string &planFile) const
{
    std::string errorText;
    if (std::filesystem::is_directory(path)) {
        const auto configuration =
                valueOrErrorText([&] { return readIntentDirectory(path); }, errorText);
        return configuration ? requestPlan("whole", encode(*configuration), planFile)
                             : reportInvalidInput(errorText);
    }
    const auto delta = valueOrErrorText([&] { return readIntentFile(path); }, errorText);
    return delta ? requestPlan("intent", encode(*delta), planFile) : reportInvalidInput(errorText);
}

ExitCode Commands::planRollback(std::uint64_t version, const std::string &planFile) const
{
    const ApiAnswer content = m_client.fetch(absl::StrFormat("/v1/versions/%d", version));
    if (!content.isOk())
        return reportFailure(content);
    return requestPlan("whole", content.body.dump(), planFile);
}

ExitCode Commands::planDrain(const std::string &host, bool undo, const std::string &planFile) const
{
    const ApiAnswer current = m_client.fetch("/v1/configuration");
    if (!current.isOk())
        return reportFailure(current);
    std::string errorText;
    auto configuration = valueOrErrorText(
            [&] { return decodeConfiguration(current.body["content"].dump()); }, errorText);
    if (!configuration)
        return reportInvalidInput(errorText);
    for (auto &[id, service] : configuration->services) {
        if (undo)
            service.withheldHosts.erase(HostId(host));
        else
            service.withheldHosts.insert(HostId(host));
    }
    return requestPlan("whole", encode(*configuration), planFile);
}

ExitCode Commands::requestPlan(const std::string &mode, const std::string &body,
                               const std::string &planFile) const
{
    const ApiAnswer answer = m_client.post("/v1/plan?mode=" + mode, body);
    if (!answer.isOk())
        return reportFailure(answer);
    if (!planFile.empty()) {
        std::ofstream file(planFile);
        file << answer.body.dump(2) << "\n";
        if (!file)
            return reportInvalidInput(planFile + ": cannot be written");
    }
    if (m_printer.isJson())
        m_printer.printJson(answer.body);
    else
        m_printer.printPlan(answer.body);
    return ExitCode::Ok;
}

ExitCode Commands::confirm(const ConfirmOptions &options) const
{
    std::string errorText;
    const auto plan = readPlanFile(options.planFile, errorText);
    if (!plan)
        return reportInvalidInput(errorText);
    if (!options.skipPrompt) {
        m_printer.printPlan(*plan);
        if (isatty(STDIN_FILENO) == 0)
            return reportInvalidInput("not a terminal; confirm with --yes");
        if (!promptForConfirmation())
            return ExitCode::Failed;
    }
    const std::string operationId =
            options.operationId.empty() ? makeOperationId() : options.operationId;
    json body{ { "operation", operationId },
               { "base", plan->at("base") },
               { "changes_digest", plan->at("changes_digest") },
               { "delta", plan->at("delta") } };
    if (!options.note.empty())
        body["note"] = options.note;
    const ApiAnswer answer = m_client.post("/v1/confirm", body.dump());
    if (!answer.isOk()) {
        if (answer.status == 0 || answer.status >= 500)
            std::cerr << "godwitliftctl: to retry, pass --operation " << operationId << "\n";
        return reportFailure(answer);
    }
    const auto version = answer.body.at("version").get<std::uint64_t>();
    if (m_printer.isJson())
        m_printer.printJson(answer.body);
    else
        m_printer.printLine(
                absl::StrFormat("Published version %d (operation %s).", version, operationId));
    return options.waitUntilInForce ? pollUntilInForce(version, options.waitTimeout) : ExitCode::Ok;
}

ExitCode Commands::pollUntilInForce(std::uint64_t version, absl::Duration timeout) const
{
    const absl::Time startTime = absl::Now();
    std::string lastProgress;
    while (absl::Now() - startTime < timeout) {
        const ApiAnswer answer = m_client.fetch("/v1/status");
        std::uint64_t reportedHosts = 0;
        std::uint64_t laggingZones = 0;
        if (answer.isOk()) {
            for (const auto &zone : answer.body.at("zones")) {
                reportedHosts += zone.at("hosts").get<std::uint64_t>();
                if (zone.at("lowest").get<std::uint64_t>() < version)
                    ++laggingZones;
            }
            const bool allHostsReported =
                    reportedHosts >= answer.body.at("node").at("hosts").get<std::uint64_t>();
            if (laggingZones == 0 && reportedHosts > 0 && allHostsReported) {
                if (!m_printer.isJson())
                    m_printer.printLine(
                            absl::StrFormat("In force on all %d hosts.", reportedHosts));
                return ExitCode::Ok;
            }
        }
        const std::string progress =
                absl::StrFormat("%d hosts have reported, %d zones are below version %d",
                                reportedHosts, laggingZones, version);
        if (!m_printer.isJson() && progress != lastProgress)
            m_printer.printLine(progress);
        lastProgress = progress;
        absl::SleepFor(StatusPollInterval);
    }
    std::cerr << "godwitliftctl: version " << version
              << " is published but not in force on every host; see `godwitliftctl status`\n";
    return ExitCode::NotInForce;
}

ExitCode Commands::show() const
{
    const ApiAnswer answer = m_client.fetch("/v1/configuration");
    if (!answer.isOk())
        return reportFailure(answer);
    m_printer.printJson(m_printer.isJson() ? answer.body : answer.body.at("content"));
    return ExitCode::Ok;
}

ExitCode Commands::status() const
{
    const ApiAnswer answer = m_client.fetch("/v1/status");
    if (!answer.isOk())
        return reportFailure(answer);
    if (m_printer.isJson())
        m_printer.printJson(answer.body);
    else
        m_printer.printStatus(answer.body);
    return ExitCode::Ok;
}

ExitCode Commands::history(std::optional<std::uint64_t> afterVersion) const
{
    const ApiAnswer answer = m_client.fetch(
            afterVersion ? absl::StrFormat("/v1/history?after=%d", *afterVersion) : "/v1/history");
    if (!answer.isOk())
        return reportFailure(answer);
    if (m_printer.isJson())
        m_printer.printJson(answer.body);
    else
        m_printer.printHistory(answer.body);
    return ExitCode::Ok;
}

ExitCode Commands::diff(const std::string &directory) const
{
    if (!std::filesystem::is_directory(directory))
        return reportInvalidInput(directory + ": not a directory");
    return plan(directory, {});
}

ExitCode Commands::explain(const std::string &requestId,
                           const std::vector<std::string> &files) const
{
    RequestExplanation explanation(requestId);
    for (const std::string &path : files) {
        std::ifstream file;
        if (path != "-")
            file.open(path);
        std::istream &input = path == "-" ? std::cin : file;
        if (!input)
            return reportInvalidInput(path + ": cannot be read");
        for (std::string line; std::getline(input, line);)
            explanation.addLine(line);
    }
    if (m_printer.isJson()) {
        json lines = json::array();
        for (const LogRecord &record : explanation.timeline())
            lines.push_back(record.text);
        m_printer.printJson({ { "request", requestId },
                              { "verdict", explanation.summary() },
                              { "lines", std::move(lines) } });
    } else {
        for (const LogRecord &record : explanation.timeline())
            m_printer.printLine(record.text);
        m_printer.printLine(explanation.summary());
    }
    return explanation.hasRecords() ? ExitCode::Ok : ExitCode::Failed;
}

} // namespace godwitlift
