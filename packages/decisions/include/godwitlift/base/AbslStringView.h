/// \file
/// Conversion from std::string_view to absl::string_view, which are distinct types in Debian's
/// build of Abseil.
#pragma once

#include <absl/strings/string_view.h>

#include <string_view>

namespace godwitlift {

inline absl::string_view toAbslStringView(std::string_view text)
{
    return { text.data(), text.size() };
}

} // namespace godwitlift
