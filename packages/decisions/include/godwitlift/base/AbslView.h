/// \file
/// Debian builds Abseil with a string view of its own; this converts the standard one.
#pragma once

#include <absl/strings/string_view.h>

#include <string_view>

namespace godwitlift {

inline absl::string_view abslView(std::string_view text)
{
    return { text.data(), text.size() };
}

} // namespace godwitlift
