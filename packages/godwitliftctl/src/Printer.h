/// \file
/// What the operators' command prints.
#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace godwitlift {

/// Form of the output.
enum class OutputForm : std::uint8_t { Text, Json };

/// Prints answers to standard output, with colour only on a terminal.
class Printer final
{
public:
    explicit Printer(OutputForm form);

    bool isJson() const { return m_form == OutputForm::Json; }
    void json(const nlohmann::json &value) const;
    void line(const std::string &text) const;
    void plan(const nlohmann::json &plan) const;
    void status(const nlohmann::json &status) const;
    void history(const nlohmann::json &history) const;

private:
    std::string coloured(const std::string &text, const char *code) const;
    void member(const std::string &key, const nlohmann::json &before,
                const nlohmann::json &after) const;

    OutputForm m_form;
    bool m_colour;
};

} // namespace godwitlift
