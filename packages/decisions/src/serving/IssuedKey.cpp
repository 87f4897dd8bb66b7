/// \file
/// Text form of issued keys: `gw1~host~incarnation~counter~proof`.
#include "godwitlift/serving/IssuedKey.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <vector>

namespace godwitlift {

namespace {

constexpr std::string_view Prefix = "gw1";
constexpr std::size_t PartCount = 5;

} // namespace

IdempotencyKey IssuedKey::text() const
{
    return IdempotencyKey(absl::StrFormat("%s~%s~%d~%d~%016x", Prefix, owner.value(),
                                          incarnation.value(), counter, proof));
}

std::optional<IssuedKey> IssuedKey::parse(const IdempotencyKey &key)
{
    const std::vector<std::string> parts = absl::StrSplit(key.value(), '~');
    if (parts.size() != PartCount || parts[0] != Prefix)
        return std::nullopt;
    IssuedKey parsed;
    std::uint64_t incarnation = 0;
    if (!absl::SimpleAtoi(parts[2], &incarnation) || !absl::SimpleAtoi(parts[3], &parsed.counter)
        || !absl::SimpleHexAtoi(parts[4], &parsed.proof))
        return std::nullopt;
    parsed.owner = HostId(parts[1]);
    parsed.incarnation = Incarnation(incarnation);
    return parsed;
}

} // namespace godwitlift
