/// \file
/// Comparison of secrets.
#pragma once

#include <string_view>

namespace godwitlift {

/// Compares without revealing by its duration where the texts differ.
inline bool equalsInConstantTime(std::string_view a, std::string_view b)
{
    unsigned difference = a.size() == b.size() ? 0U : 1U;
    for (std::size_t i = 0; i < a.size(); ++i) {
        const char other = b.empty() ? '\0' : b[i % b.size()];
        difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(other);
    }
    return difference == 0;
}

} // namespace godwitlift
