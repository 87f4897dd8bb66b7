/// \file
/// Text and JSON output of godwitliftctl.
#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace godwitlift {

enum class OutputFormat : std::uint8_t { Text, Json };

/// Prints answers of the operator API to standard output, in colour only on a terminal.
class Printer final
{
public:
    explicit Printer(OutputFormat format);

    bool isJson() const { return m_format == OutputFormat::Json; }
    void printJson(const nlohmann::json &value) const;
    void printLine(const std::string &text) const;
    void printPlan(const nlohmann::json &plan) const;
    void printStatus(const nlohmann::json &status) const;
    void printHistory(const nlohmann::json &history) const;

private:
    /// Wraps \p text in an ANSI colour sequence if the output is coloured.
    std::string withColour(const std::string &text, const char *colourCode) const;
    /// Prints the old and the new value of one member if they differ.
    void printMemberChange(const std::string &key, const nlohmann::json &before,
                           const nlohmann::json &after) const;

    OutputFormat m_format;
    bool m_usesColour;
};

} // namespace godwitlift
