/// \file
/// Formats plans, status and history as text.
#include "Printer.h"

#include <absl/strings/str_format.h>
#include <absl/time/time.h>

#include <iostream>
#include <set>

#include <unistd.h>

namespace godwitlift {

namespace {

constexpr char Green[] = "32";
constexpr char Red[] = "31";
constexpr char Yellow[] = "33";

std::set<std::string> keysOfBoth(const nlohmann::json &before, const nlohmann::json &after)
{
    std::set<std::string> keys;
    for (const nlohmann::json *object : { &before, &after }) {
        if (!object->is_object())
            continue;
        for (const auto &entry : object->items())
            keys.insert(entry.key());
    }
    return keys;
}

nlohmann::json memberOrNull(const nlohmann::json &object, const std::string &key)
{
    return object.is_object() && object.contains(key) ? object[key] : nlohmann::json();
}

} // namespace

Printer::Printer(OutputFormat format)
    : m_format(format)
    , m_usesColour(isatty(STDOUT_FILENO) != 0)
{}

std::string Printer::withColour(const std::string &text, const char *colourCode) const
{
    return m_usesColour ? absl::StrFormat("\033[%sm%s\033[0m", colourCode, text) : text;
}

void Printer::printJson(const nlohmann::json &value) const
{
    std::cout << value.dump(2) << "\n";
}

void Printer::printLine(const std::string &text) const
{
    std::cout << text << "\n" << std::flush;
}

void Printer::printMemberChange(const std::string &key, const nlohmann::json &before,
                                const nlohmann::json &after) const
{
    if (before == after)
        return;
    if (!before.is_null())
        printLine(withColour("    - " + key + ": " + before.dump(), Red));
    if (!after.is_null())
        printLine(withColour("    + " + key + ": " + after.dump(), Green));
}

void Printer::printPlan(const nlohmann::json &plan) const
{
    const auto base = plan.at("base").get<std::uint64_t>();
    if (plan.at("changes").empty()) {
        printLine(absl::StrFormat("No changes to version %d.", base));
        return;
    }
    printLine(absl::StrFormat("Plan %s based on version %d:",
                              plan.at("plan").get<std::string>().substr(0, 12), base));
    for (const auto &change : plan.at("changes")) {
        const auto kind = change.at("kind").get<std::string>();
        const char *colourCode = kind == "add" ? Green : (kind == "remove" ? Red : Yellow);
        printLine(
                withColour(absl::StrFormat("  %s %s", kind, change.at("object").get<std::string>()),
                           colourCode));
        for (const std::string &key : keysOfBoth(change["before"], change["after"]))
            printMemberChange(key, memberOrNull(change["before"], key),
                              memberOrNull(change["after"], key));
    }
}

void Printer::printStatus(const nlohmann::json &status) const
{
    const auto &node = status.at("node");
    const char *platform = "not polled";
    if (node.at("watches_platform").get<bool>())
        platform = node.at("platform_reachable").get<bool>() ? "reachable" : "unreachable";
    printLine(absl::StrFormat("node: version %d, %s, %s, platform %s, %d hosts known",
                              node.at("version").get<std::uint64_t>(),
                              node.at("ready").get<bool>() ? "ready" : "not ready",
                              node.at("level").get<std::string>(), platform,
                              node.at("hosts").get<std::uint64_t>()));
    printLine(absl::StrFormat("%-20s %7s %9s %9s", "zone", "hosts", "lowest", "refusals"));
    for (const auto &zone : status.at("zones")) {
        printLine(absl::StrFormat("%-20s %7d %9d %9d", zone.at("zone").get<std::string>(),
                                  zone.at("hosts").get<std::uint64_t>(),
                                  zone.at("lowest").get<std::uint64_t>(),
                                  zone.at("refusals").get<std::uint64_t>()));
        for (const auto &host : zone.at("lagging")) {
            std::string text =
                    absl::StrFormat("  %s has version %d", host.at("host").get<std::string>(),
                                    host.at("held").get<std::uint64_t>());
            if (host.contains("refused"))
                text += absl::StrFormat(", refused %d: %s", host.at("refused").get<std::uint64_t>(),
                                        host.at("problem").get<std::string>());
            printLine(withColour(text, Yellow));
        }
    }
    if (const auto problem = status.at("problem").get<std::string>(); !problem.empty())
        printLine("note: " + problem);
}

void Printer::printHistory(const nlohmann::json &history) const
{
    printLine(absl::StrFormat("%8s  %-20s  %-16s  %s", "version", "published", "operator", "note"));
    for (const auto &version : history.at("versions")) {
        const absl::Time time =
                absl::FromUnixMillis(version.at("published_unix_ms").get<std::int64_t>());
        printLine(absl::StrFormat(
                "%8d  %-20s  %-16s  %s", version.at("version").get<std::uint64_t>(),
                absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", time, absl::UTCTimeZone()),
                version.at("author").get<std::string>(), version.at("note").get<std::string>()));
    }
}

} // namespace godwitlift
