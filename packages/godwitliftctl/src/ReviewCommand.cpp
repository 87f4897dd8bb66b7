/// \file
/// Reads the files and prints findings and differences as text or JSON.
#include "ReviewCommand.h"

#include "godwitlift/json/DuplicateMembers.h"
#include "godwitlift/node/MeshSettings.h"
#include "godwitlift/platform_binding/PlatformBinding.h"
#include "godwitlift/review/ConfigurationReview.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

namespace godwitlift {

namespace {

using nlohmann::json;

/// All that a review prints.
struct Report
{
    std::string file;
    std::optional<ConfigurationDraft> draft; ///< None if the file is no JSON.
    std::vector<ReviewFinding> findings;
    bool isComparisonWanted = false;
    std::optional<Version> comparedWith; ///< None also if nodes refuse the file.
    std::vector<EntryChange> changes;

    std::size_t count(FindingSeverity severity) const
    {
        return static_cast<std::size_t>(
                std::count_if(findings.begin(), findings.end(), [&](const ReviewFinding &each) {
                    return each.severity == severity;
                }));
    }
    void add(std::vector<ReviewFinding> more)
    {
        std::move(more.begin(), more.end(), std::back_inserter(findings));
    }
};

ExitCode reportUnusableFile(const std::string &path, const std::string &problem)
{
    std::cerr << "godwitliftctl: " << path << ": " << problem << "\n";
    return ExitCode::InvalidInput;
}

std::optional<std::string> readFile(const std::string &path)
{
    if (path == "-")
        return std::string{ std::istreambuf_iterator<char>(std::cin), {} };
    std::ifstream file(path);
    if (!file || std::filesystem::is_directory(path))
        return std::nullopt;
    return std::string{ std::istreambuf_iterator<char>(file), {} };
}

std::string counted(std::size_t count, const std::string &noun)
{
    return absl::StrCat(count, " ", noun, count == 1 ? "" : "s");
}

/// As the configuration writes it.
std::string versionDigits(Version version)
{
    return absl::StrCat(absl::Hex(version.value(), absl::kZeroPad8));
}

std::string versionText(Version version)
{
    return version == Version() ? "no version" : absl::StrCat("version ", versionDigits(version));
}

std::string changeText(const EntryChange &change)
{
    const char *sign = change.kind == ChangeKind::Added     ? "+"
                       : change.kind == ChangeKind::Removed ? "-"
                                                            : "~";
    std::string text = absl::StrCat("  ", sign, " ", change.object);
    if (!change.id.empty())
        absl::StrAppend(&text, " '", change.id, "'");
    const char *separator = ": ";
    for (const MemberChange &member : change.members) {
        absl::StrAppend(&text, separator, member.member, " ", member.before, " -> ", member.after);
        separator = ", ";
    }
    return text;
}

void printText(const Report &report, const Printer &printer)
{
    if (report.draft)
        printer.printLine(absl::StrCat(report.file, ": ", versionText(report.draft->version), ", ",
                                       counted(report.draft->routes.size(), "route"), ", ",
                                       counted(report.draft->services.size(), "service"), ", ",
                                       counted(report.draft->accounts.size(), "account")));
    for (const ReviewFinding &finding : report.findings)
        printer.printLine(absl::StrCat(std::string(name(finding.severity)), ": ",
                                       finding.place.empty() ? "the version" : finding.place, " ",
                                       finding.text, " [", finding.kind, "]"));
    if (report.comparedWith) {
        printer.printLine(absl::StrCat("compared with ", versionText(*report.comparedWith),
                                       report.changes.empty() ? ": no difference" : ":"));
        for (const EntryChange &change : report.changes)
            printer.printLine(changeText(change));
    } else if (report.isComparisonWanted) {
        printer.printLine("not compared with the version in force: nodes would refuse this one");
    }
    printer.printLine(absl::StrCat(counted(report.count(FindingSeverity::Error), "error"), ", ",
                                   counted(report.count(FindingSeverity::Warning), "warning")));
}

void printJson(const Report &report, const Printer &printer)
{
    json findings = json::array();
    for (const ReviewFinding &finding : report.findings)
        findings.push_back({ { "severity", name(finding.severity) },
                             { "kind", finding.kind },
                             { "place", finding.place },
                             { "text", finding.text } });
    json document{ { "file", report.file },
                   { "errors", report.count(FindingSeverity::Error) },
                   { "warnings", report.count(FindingSeverity::Warning) },
                   { "findings", std::move(findings) } };
    if (report.draft)
        document["version"] = versionDigits(report.draft->version);
    if (report.comparedWith) {
        json changes = json::array();
        for (const EntryChange &change : report.changes) {
            json members = json::array();
            for (const MemberChange &member : change.members)
                members.push_back({ { "member", member.member },
                                    { "before", member.before },
                                    { "after", member.after } });
            changes.push_back({ { "change", name(change.kind) },
                                { "object", change.object },
                                { "name", change.id },
                                { "members", std::move(members) } });
        }
        document["compared_with"] = versionDigits(*report.comparedWith);
        document["changes"] = std::move(changes);
    }
    printer.printJson(document);
}

/// Where the parser stopped, such as `line 3, column 7`; empty if \p text is JSON.
std::string syntaxErrorPlace(const std::string &text)
{
    try {
        const json ignored = json::parse(text);
    } catch (const json::parse_error &error) {
        const std::string parsed = text.substr(0, error.byte > 0 ? error.byte - 1 : 0);
        const auto line = 1 + std::count(parsed.begin(), parsed.end(), '\n');
        // Without a line break, rfind() returns npos, and npos + 1 is 0.
        return absl::StrCat("line ", line, ", column ", parsed.size() - parsed.rfind('\n'));
    }
    return {};
}

ReviewFinding undecodable(const std::string &text, const std::string &problem)
{
    const std::string place = syntaxErrorPlace(text);
    return { FindingSeverity::Error, "refused", place,
             place.empty() ? "is refused: " + problem : "is not JSON: the parser stopped here" };
}

std::optional<ConfigurationDraft> decodeDraft(const std::string &text, std::string &problem)
{
    auto draft = valueOrErrorText([&] { return decodeConfigurationDraft(text); }, problem);
    if (draft) {
        const auto duplicates = findDuplicateMembers(text);
        draft->remarks.insert(draft->remarks.end(), duplicates.begin(), duplicates.end());
    }
    return draft;
}

} // namespace

ExitCode review(const ReviewOptions &options, const Printer &printer)
{
    Report report;
    report.file = options.file == "-" ? "standard input" : options.file;
    const auto text = readFile(options.file);
    if (!text)
        return reportUnusableFile(options.file, "cannot be read");
    std::string problem;
    report.draft = decodeDraft(*text, problem);
    if (report.draft)
        report.add(reviewConfiguration(*report.draft));
    else
        report.findings.push_back(undecodable(*text, problem));

    if (!options.settingsFile.empty()) {
        const auto settingsText = readFile(options.settingsFile);
        if (!settingsText)
            return reportUnusableFile(options.settingsFile, "cannot be read");
        const auto settings =
                valueOrErrorText([&] { return decodeMeshSettings(*settingsText); }, problem);
        if (!settings)
            return reportUnusableFile(options.settingsFile, problem);
        if (report.draft)
            report.add(reviewAgainstSettings(*report.draft,
                                             { settings->retryRule, settings->memoryBytes }));
    }
    if (!options.inForceFile.empty()) {
        report.isComparisonWanted = true;
        const auto inForceText = readFile(options.inForceFile);
        if (!inForceText)
            return reportUnusableFile(options.inForceFile, "cannot be read");
        const auto inForce = decodeDraft(*inForceText, problem);
        if (!inForce)
            return reportUnusableFile(options.inForceFile, problem);
        if (!inForce->isAccepted())
            return reportUnusableFile(options.inForceFile,
                                      "cannot be in force, since nodes refuse it: "
                                              + InputError{ inForce->faults }.message());
        // A version that nodes refuse changes nothing.
        if (report.draft && report.draft->isAccepted()) {
            auto comparison =
                    compareConfigurations(*inForce->catalogue(), *report.draft->catalogue());
            report.comparedWith = inForce->version;
            report.changes = std::move(comparison.changes);
            report.add(std::move(comparison.findings));
        }
    }
    std::stable_sort(
            report.findings.begin(), report.findings.end(),
            [](const ReviewFinding &a, const ReviewFinding &b) { return a.severity > b.severity; });
    if (printer.isJson())
        printJson(report, printer);
    else
        printText(report, printer);
    if (report.count(FindingSeverity::Error) > 0)
        return ExitCode::InvalidInput;
    return report.findings.empty() ? ExitCode::Ok : ExitCode::ReviewWarnings;
}

} // namespace godwitlift
