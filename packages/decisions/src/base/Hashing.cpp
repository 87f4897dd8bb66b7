/// \file
/// Digest and hash functions implemented with xxHash.
#include "godwitlift/base/Hashing.h"

#include <absl/strings/str_format.h>
#include <xxhash.h>

namespace godwitlift {

Digest digestOf(std::string_view content)
{
    const XXH128_hash_t hash = XXH3_128bits(content.data(), content.size());
    return Digest(absl::StrFormat("%016x%016x", hash.high64, hash.low64));
}

std::uint64_t hashOf(std::string_view content, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(content.data(), content.size(), seed);
}

} // namespace godwitlift
