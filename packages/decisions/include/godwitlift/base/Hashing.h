/// \file
/// Content digests and 64-bit hashes, both computed with xxHash.
#pragma once

#include "godwitlift/base/StrongId.h"

#include <cstdint>
#include <string_view>

namespace godwitlift {

/// 128-bit digest of \p content as 32 hexadecimal characters.
Digest digestOf(std::string_view content);

/// 64-bit hash for rendezvous hashing and for digests of records. Not cryptographic.
std::uint64_t hashOf(std::string_view content, std::uint64_t seed = 0);

} // namespace godwitlift
