/// \file
/// Cryptographic digest of a client's key.
#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace godwitlift {

/// SHA-256 digest of a key. Nodes store, compare and send digests only; the key itself stays in the
/// request of the client that presents it.
class KeyDigest final
{
public:
    static constexpr std::size_t Size = 32; ///< Bytes.

    static KeyDigest ofKey(std::string_view key);
    /// None unless \p bytes has exactly Size bytes.
    static std::optional<KeyDigest> fromBytes(std::string_view bytes);

    std::string_view bytes() const
    {
        return { reinterpret_cast<const char *>(m_bytes.data()), m_bytes.size() };
    }

    friend auto operator<=>(const KeyDigest &, const KeyDigest &) = default;
    friend bool operator==(const KeyDigest &, const KeyDigest &) = default;

    template<typename H>
    friend H AbslHashValue(H state, const KeyDigest &digest)
    {
        return H::combine(std::move(state), digest.m_bytes);
    }

private:
    KeyDigest() = default;

    std::array<std::uint8_t, Size> m_bytes{};
};

} // namespace godwitlift
