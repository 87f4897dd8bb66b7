/// \file
/// Checks of field names, values and lines.
#include "godwitlift/base/FieldSyntax.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace godwitlift {

namespace {

bool isTokenCharacter(char c)
{
    constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
    return absl::ascii_isalnum(static_cast<unsigned char>(c))
           || Marks.find(c) != std::string_view::npos;
}

} // namespace

bool isFieldName(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isFieldText(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char c) {
        return c != '\t' && absl::ascii_iscntrl(static_cast<unsigned char>(c));
    });
}

bool takeFieldLine(std::string_view &lines, std::string_view &name, std::string_view &value)
{
    const std::size_t end = lines.find("\r\n");
    if (end == std::string_view::npos)
        return false;
    const std::string_view line = lines.substr(0, end);
    lines.remove_prefix(end + 2);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
        return false;
    name = line.substr(0, colon);
    value = line.substr(colon + 1);
    return isFieldName(name) && isFieldText(value);
}

} // namespace godwitlift
