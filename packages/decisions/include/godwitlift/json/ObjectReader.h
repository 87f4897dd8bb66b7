/// \file
/// Checked access to one JSON object: types, ranges and unknown keys, each fault with its path.
#pragma once

#include "godwitlift/base/Failure.h"

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace godwitlift {

/// Reads the members of one object and collects faults instead of stopping at the first.
/// Call finish() last: it reports every member that was never asked for. The reader refers to the
/// object and to the list of faults; both must outlive it.
class ObjectReader final
{
public:
    ObjectReader(const nlohmann::json &object, std::string path, std::vector<InputFault> &faults);

    bool has(std::string_view key) const;
    /// Non-empty text; a fault if it is missing.
    std::string text(std::string_view key);
    std::string textOr(std::string_view key, std::string fallback);
    double number(std::string_view key, double low, double high, double fallback);
    std::uint64_t integer(std::string_view key, std::uint64_t low, std::uint64_t high,
                          std::uint64_t fallback);
    /// Like integer(), but a fault if the member is missing.
    std::uint64_t requiredInteger(std::string_view key, std::uint64_t low, std::uint64_t high);
    bool flag(std::string_view key, bool fallback);
    /// A member in whole milliseconds; its key ends in `_ms`.
    absl::Duration milliseconds(std::string_view key, absl::Duration low, absl::Duration high,
                                absl::Duration fallback);
    /// Text that must be one of \p choices; the first one if the member is missing.
    std::string choice(std::string_view key, const std::vector<std::string> &choices);
    /// Array of non-empty texts; empty if the member is missing.
    std::vector<std::string> texts(std::string_view key);
    /// The member as an object; null if it is missing or of another type (then a fault).
    const nlohmann::json *object(std::string_view key);
    /// Path of a member, for faults reported by the caller.
    std::string pathOf(std::string_view key) const;
    void fault(std::string_view key, std::string problem);
    void finish();

private:
    const nlohmann::json *member(std::string_view key);

    const nlohmann::json &m_object;
    std::string m_path;
    std::vector<InputFault> &m_faults;
    std::set<std::string, std::less<>> m_asked;
};

/// Parses JSON with a bound on nesting; the fault names the byte where parsing stopped.
Result<nlohmann::json> parseJson(std::string_view text);

/// A letter or digit followed by letters, digits, '.', '_' or '-', 64 characters at most.
bool isIdentifier(std::string_view text);

} // namespace godwitlift
