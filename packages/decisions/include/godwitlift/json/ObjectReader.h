/// \file
/// Reads a JSON object and validates types, ranges and keys. Each fault is reported with its path.
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

/// Reads the members of one object and collects all faults instead of stopping at the first.
/// Call reportUnknownKeys() last: it reports every member that was not read before. The reader
/// keeps references to the object and to the list of faults; both must outlive it.
class ObjectReader final
{
public:
    ObjectReader(const nlohmann::json &object, std::string path, std::vector<InputFault> &faults);

    bool has(std::string_view key) const;
    /// Non-empty string; reports a fault if it is missing.
    std::string requiredText(std::string_view key);
    std::string textOr(std::string_view key, std::string fallback);
    double number(std::string_view key, double low, double high, double fallback);
    std::uint64_t integer(std::string_view key, std::uint64_t low, std::uint64_t high,
                          std::uint64_t fallback);
    /// Like integer(), but reports a fault if the member is missing.
    std::uint64_t requiredInteger(std::string_view key, std::uint64_t low, std::uint64_t high);
    bool flag(std::string_view key, bool fallback);
    /// Integer number of milliseconds; the key ends in `_ms`.
    absl::Duration milliseconds(std::string_view key, absl::Duration low, absl::Duration high,
                                absl::Duration fallback);
    /// String that must be one of \p choices; defaults to the first one.
    std::string choice(std::string_view key, const std::vector<std::string> &choices);
    /// Array of non-empty strings; empty if the member is missing.
    std::vector<std::string> texts(std::string_view key);
    /// The member as an object, or null if it is missing. Another type reports a fault and returns
    /// null.
    const nlohmann::json *object(std::string_view key);
    /// Full path of the member \p key, for faults that the caller reports.
    std::string pathOf(std::string_view key) const;
    void addFault(std::string_view key, std::string problem);
    void reportUnknownKeys();

private:
    const nlohmann::json *member(std::string_view key);

    const nlohmann::json &m_object;
    std::string m_path;
    std::vector<InputFault> &m_faults;
    std::set<std::string, std::less<>> m_readKeys;
};

/// Parses JSON with a limit on nesting depth. The fault states the byte at which parsing stopped.
Result<nlohmann::json> parseJson(std::string_view text);

/// Whether \p text is a letter or digit followed by letters, digits, '.', '_' or '-', at most 64
/// characters in total.
bool isIdentifier(std::string_view text);

} // namespace godwitlift
