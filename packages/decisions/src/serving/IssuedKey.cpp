/// \file
/// Text format of issued keys: `gw1~host~incarnation~counter~tag`.
#include "godwitlift/serving/IssuedKey.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <vector>

namespace godwitlift {

namespace {

constexpr std::string_view Prefix = "gw1";
constexpr std::size_t FieldCount = 5;

} // namespace

IdempotencyKey IssuedKey::toIdempotencyKey() const
{
    return IdempotencyKey(absl::StrFormat("%s~%s~%d~%d~%016x", Prefix, owner.value(),
                                          incarnation.value(), counter, authenticationTag));
}

std::optional<IssuedKey> IssuedKey::parse(const IdempotencyKey &key)
{
    const std::vector<std::string> fields = absl::StrSplit(key.value(), '~');
    if (fields.size() != FieldCount || fields[0] != Prefix)
        return std::nullopt;
    IssuedKey parsed;
    std::uint64_t incarnation = 0;
    if (!absl::SimpleAtoi(fields[2], &incarnation) || !absl::SimpleAtoi(fields[3], &parsed.counter)
        || !absl::SimpleHexAtoi(fields[4], &parsed.authenticationTag))
        return std::nullopt;
    parsed.owner = HostId(fields[1]);
    parsed.incarnation = Incarnation(incarnation);
    return parsed;
}

} // namespace godwitlift
