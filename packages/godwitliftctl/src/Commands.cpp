/// \file
/// The operators' commands.
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

constexpr absl::Duration ProgressPeriod = absl::Milliseconds(200);
constexpr int BadRequest = 400;
constexpr int ConflictStatus = 409;

std::string newOperation()
{
    std::random_device device;
    return absl::StrFormat("op-%08x%08x", device(), device());
}

bool askYes()
{
    std::cout << "Confirm this plan? [y/N] " << std::flush;
    std::string answer;
    std::getline(std::cin, answer);
    return answer == "y" || answer == "yes";
}

ExitCode reportBadInput(const std::string &problem)
{
    std::cerr << "godwitliftctl: " << problem << "\n";
    return ExitCode::BadInput;
}

std::optional<json> readPlan(const std::string &path, std::string &problem)
{
    std::ifstream file(path);
    if (!file) {
        problem = path + ": cannot be read";
        return std::nullopt;
    }
    const std::string text{ std::istreambuf_iterator<char>(file), {} };
    json plan = json::parse(text, nullptr, false);
    if (!plan.is_object() || !plan.contains("base") || !plan.contains("delta")
        || !plan.contains("changes_digest") || !plan.contains("changes")) {
        problem = path + ": not a plan; make one with `godwitliftctl plan --save FILE`";
        return std::nullopt;
    }
    return plan;
}

} // namespace

ExitCode Commands::fail(const ApiAnswer &answer)
{
    std::cerr << "godwitliftctl: " << answer.problem() << "\n";
    if (answer.status == ConflictStatus)
        return ExitCode::Conflict;
    return answer.status == BadRequest ? ExitCode::BadInput : ExitCode::Failed;
}

ExitCode Commands::check(const std::string &path)
{
    std::string problem;
    if (std::filesystem::is_directory(path))
        valueOrErrorText([&] { return readIntentDirectory(path); }, problem);
    else
        valueOrErrorText([&] { return readIntentFile(path); }, problem);
    if (!problem.empty())
        return reportBadInput(problem);
    std::cout << path << ": ok\n";
    return ExitCode::Ok;
}

ExitCode Commands::plan(const std::string &path, const std::string &planFile) const
{
    std::string problem;
    if (std::filesystem::is_directory(path)) {
        const auto whole = valueOrErrorText([&] { return readIntentDirectory(path); }, problem);
        return whole ? planText("whole", encode(*whole), planFile) : reportBadInput(problem);
    }
    const auto delta = valueOrErrorText([&] { return readIntentFile(path); }, problem);
    return delta ? planText("intent", encode(*delta), planFile) : reportBadInput(problem);
}

ExitCode Commands::planRollback(std::uint64_t version, const std::string &planFile) const
{
    const ApiAnswer content = m_client.fetch(absl::StrFormat("/v1/versions/%d", version));
    if (!content.isOk())
        return fail(content);
    return planText("whole", content.body.dump(), planFile);
}

ExitCode Commands::planDrain(const std::string &host, bool undo, const std::string &planFile) const
{
    const ApiAnswer held = m_client.fetch("/v1/configuration");
    if (!held.isOk())
        return fail(held);
    std::string problem;
    auto configuration = valueOrErrorText(
            [&] { return decodeConfiguration(held.body["content"].dump()); }, problem);
    if (!configuration)
        return reportBadInput(problem);
    for (auto &[id, service] : configuration->services) {
        if (undo)
            service.withheldHosts.erase(HostId(host));
        else
            service.withheldHosts.insert(HostId(host));
    }
    return planText("whole", encode(*configuration), planFile);
}

ExitCode Commands::planText(const std::string &mode, const std::string &body,
                            const std::string &planFile) const
{
    const ApiAnswer answer = m_client.post("/v1/plan?mode=" + mode, body);
    if (!answer.isOk())
        return fail(answer);
    if (!planFile.empty()) {
        std::ofstream file(planFile);
        file << answer.body.dump(2) << "\n";
        if (!file)
            return reportBadInput(planFile + ": cannot be written");
    }
    if (m_printer.isJson())
        m_printer.json(answer.body);
    else
        m_printer.plan(answer.body);
    return ExitCode::Ok;
}

ExitCode Commands::confirm(const ConfirmOptions &options) const
{
    std::string problem;
    const auto plan = readPlan(options.planFile, problem);
    if (!plan)
        return reportBadInput(problem);
    if (!options.yes) {
        m_printer.plan(*plan);
        if (isatty(STDIN_FILENO) == 0)
            return reportBadInput("not a terminal; confirm with --yes");
        if (!askYes())
            return ExitCode::Failed;
    }
    const std::string operation = options.operation.empty() ? newOperation() : options.operation;
    json body{ { "operation", operation },
               { "base", plan->at("base") },
               { "changes_digest", plan->at("changes_digest") },
               { "delta", plan->at("delta") } };
    if (!options.note.empty())
        body["note"] = options.note;
    const ApiAnswer answer = m_client.post("/v1/confirm", body.dump());
    if (!answer.isOk()) {
        if (answer.status == 0 || answer.status >= 500)
            std::cerr << "godwitliftctl: ask again with --operation " << operation << "\n";
        return fail(answer);
    }
    const auto version = answer.body.at("version").get<std::uint64_t>();
    if (m_printer.isJson())
        m_printer.json(answer.body);
    else
        m_printer.line(absl::StrFormat("Published version %d (operation %s).", version, operation));
    return options.wait ? awaitInForce(version, options.waitTimeout) : ExitCode::Ok;
}

ExitCode Commands::awaitInForce(std::uint64_t version, absl::Duration timeout) const
{
    const absl::Time started = absl::Now();
    std::string shown;
    while (absl::Now() - started < timeout) {
        const ApiAnswer answer = m_client.fetch("/v1/status");
        std::uint64_t hosts = 0;
        std::uint64_t behind = 0;
        if (answer.isOk()) {
            for (const auto &zone : answer.body.at("zones")) {
                hosts += zone.at("hosts").get<std::uint64_t>();
                if (zone.at("lowest").get<std::uint64_t>() < version)
                    ++behind;
            }
            const bool allHeard = hosts >= answer.body.at("node").at("hosts").get<std::uint64_t>();
            if (behind == 0 && hosts > 0 && allHeard) {
                if (!m_printer.isJson())
                    m_printer.line(absl::StrFormat("In force on all %d hosts.", hosts));
                return ExitCode::Ok;
            }
        }
        const std::string progress = absl::StrFormat("%d hosts heard, %d zones behind version %d",
                                                     hosts, behind, version);
        if (!m_printer.isJson() && progress != shown)
            m_printer.line(progress);
        shown = progress;
        absl::SleepFor(ProgressPeriod);
    }
    std::cerr << "godwitliftctl: version " << version
              << " is published but not in force on every host; see `godwitliftctl status`\n";
    return ExitCode::NotInForce;
}

ExitCode Commands::show() const
{
    const ApiAnswer answer = m_client.fetch("/v1/configuration");
    if (!answer.isOk())
        return fail(answer);
    m_printer.json(m_printer.isJson() ? answer.body : answer.body.at("content"));
    return ExitCode::Ok;
}

ExitCode Commands::status() const
{
    const ApiAnswer answer = m_client.fetch("/v1/status");
    if (!answer.isOk())
        return fail(answer);
    if (m_printer.isJson())
        m_printer.json(answer.body);
    else
        m_printer.status(answer.body);
    return ExitCode::Ok;
}

ExitCode Commands::history(std::optional<std::uint64_t> after) const
{
    const ApiAnswer answer =
            m_client.fetch(after ? absl::StrFormat("/v1/history?after=%d", *after) : "/v1/history");
    if (!answer.isOk())
        return fail(answer);
    if (m_printer.isJson())
        m_printer.json(answer.body);
    else
        m_printer.history(answer.body);
    return ExitCode::Ok;
}

ExitCode Commands::diff(const std::string &directory) const
{
    if (!std::filesystem::is_directory(directory))
        return reportBadInput(directory + ": not a directory");
    return plan(directory, {});
}

ExitCode Commands::explain(const std::string &requestId,
                           const std::vector<std::string> &files) const
{
    RequestExplanation story(requestId);
    for (const std::string &path : files) {
        std::ifstream file;
        if (path != "-")
            file.open(path);
        std::istream &input = path == "-" ? std::cin : file;
        if (!input)
            return reportBadInput(path + ": cannot be read");
        for (std::string line; std::getline(input, line);)
            story.addLine(line);
    }
    if (m_printer.isJson()) {
        json lines = json::array();
        for (const LogRecord &record : story.timeline())
            lines.push_back(record.text);
        m_printer.json({ { "request", requestId },
                         { "verdict", story.summary() },
                         { "lines", std::move(lines) } });
    } else {
        for (const LogRecord &record : story.timeline())
            m_printer.line(record.text);
        m_printer.line(story.summary());
    }
    return story.hasRecords() ? ExitCode::Ok : ExitCode::Failed;
}

} // namespace godwitlift
