/// \file
/// Syntax of the parts of a message's head, as RFC 9110 defines it.
#pragma once

#include <string_view>

namespace godwitlift {

/// True for a token, the form of a field's name.
bool isFieldName(std::string_view text);

/// True for text without control characters except the tab, such as a field's value.
bool isFieldText(std::string_view text);

/// Removes the first line from \p lines and splits it at its colon. Returns false unless it ends
/// with CRLF and is a well-formed field that is not folded.
bool takeFieldLine(std::string_view &lines, std::string_view &name, std::string_view &value);

} // namespace godwitlift
