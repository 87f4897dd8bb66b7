/// \file
/// What an operator should know about a configuration before it is sent.
#pragma once

#include "godwitlift/review/ConfigurationDraft.h"
#include "godwitlift/traffic/WindowedRetryBudget.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace godwitlift {

enum class FindingSeverity : std::uint8_t {
    Warning, ///< Accepted and used, but an entry or a value has no effect, or a surprising one.
    Error    ///< Nodes refuse the version, or an entry can never serve the requests that it names.
};

std::string_view name(FindingSeverity severity);

struct ReviewFinding
{
    FindingSeverity severity = FindingSeverity::Warning;
    std::string kind;  ///< Identifier for scripts, such as `service-unknown`.
    std::string place; ///< Such as `resources[2] (routes 'pay')`; empty for the whole version.
    std::string text;  ///< Never contains a key.

    friend bool operator==(const ReviewFinding &, const ReviewFinding &) = default;
};

/// Settings of nodes that a configuration can contradict.
struct ReviewedSettings
{
    RetryBudgetRule retryRule;
    std::size_t memoryBytes = 0;
};

/// Findings in the draft alone; errors first, otherwise in the order of the file.
std::vector<ReviewFinding> reviewConfiguration(const ConfigurationDraft &draft);

/// Where the draft asks for what nodes with these settings cannot do.
std::vector<ReviewFinding> reviewAgainstSettings(const ConfigurationDraft &draft,
                                                 const ReviewedSettings &settings);

/// One member of an entry that differs.
struct MemberChange
{
    std::string member;
    std::string before;
    std::string after;

    friend bool operator==(const MemberChange &, const MemberChange &) = default;
};

enum class ChangeKind : std::uint8_t { Added, Removed, Changed };

std::string_view name(ChangeKind kind);

/// One entry that differs. Keys appear as numbers of keys only.
struct EntryChange
{
    ChangeKind kind = ChangeKind::Changed;
    std::string object; ///< `route`, `service`, `account` or `limits`.
    std::string id;     ///< Empty for limits.
    std::vector<MemberChange> members;

    friend bool operator==(const EntryChange &, const EntryChange &) = default;
};

/// How a version differs from the one in force.
struct ConfigurationComparison
{
    std::vector<EntryChange> changes;
    std::vector<ReviewFinding> findings; ///< What the change itself does to clients.
};

ConfigurationComparison compareConfigurations(const RouteCatalogue &inForce,
                                              const RouteCatalogue &next);

} // namespace godwitlift
