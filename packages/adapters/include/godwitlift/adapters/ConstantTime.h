/// \file
/// Constant-time comparison of secrets.
#pragma once

#include <string_view>

namespace godwitlift {

/// Compares in a time that does not depend on where the texts differ, so that a secret cannot be
/// guessed from response times.
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
