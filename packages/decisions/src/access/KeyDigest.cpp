/// \file
/// SHA-256 by libsodium.
#include "godwitlift/access/KeyDigest.h"

#include <sodium/crypto_hash_sha256.h>

#include <algorithm>

namespace godwitlift {

static_assert(KeyDigest::Size == crypto_hash_sha256_BYTES);

KeyDigest KeyDigest::ofKey(std::string_view key)
{
    KeyDigest digest;
    crypto_hash_sha256(digest.m_bytes.data(), reinterpret_cast<const unsigned char *>(key.data()),
                       key.size());
    return digest;
}

std::optional<KeyDigest> KeyDigest::fromBytes(std::string_view bytes)
{
    if (bytes.size() != Size)
        return std::nullopt;
    KeyDigest digest;
    std::copy(bytes.begin(), bytes.end(), digest.m_bytes.begin());
    return digest;
}

} // namespace godwitlift
