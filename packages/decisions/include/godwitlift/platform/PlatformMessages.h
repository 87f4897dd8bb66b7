/// \file
/// Platform requests and answers as values, so that decision code does no I/O.
#pragma once

#include "godwitlift/base/StrongId.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace godwitlift {

/// Matches a platform request with its answer within one node.
using PlatformRequestId = StrongNumber<struct PlatformRequestIdTag>;

/// One row of the table service.
struct TableRow
{
    std::string key;
    std::uint64_t revision = 0; ///< Set by the writer; compared by RowCondition::Kind::RevisionIs.
    std::string value;

    friend bool operator==(const TableRow &, const TableRow &) = default;
};

/// Condition on a row that must hold for a transaction to be applied.
struct RowCondition
{
    enum class Kind : std::uint8_t { Absent, RevisionIs };

    Kind kind = Kind::Absent;
    std::uint64_t revision = 0;

    static RowCondition absent() { return {}; }
    static RowCondition revisionIs(std::uint64_t revision)
    {
        return { Kind::RevisionIs, revision };
    }
};

/// One conditional write of a transaction.
struct ConditionalPut
{
    TableRow row;
    RowCondition condition;
};

struct FetchRow
{
    std::string key;
};

/// Reads up to `limit` rows whose keys start with `prefix`, in key order, starting after `after`.
struct ScanRows
{
    std::string prefix;
    std::string after;
    std::size_t limit = 0;
};

/// Applies all puts if all conditions hold, otherwise none.
struct Transact
{
    std::vector<ConditionalPut> puts;
};

struct PutObject
{
    std::string name;
    std::string content;
};

struct FetchObject
{
    std::string name;
};

struct RemoveObject
{
    std::string name;
};

using PlatformOperation =
        std::variant<FetchRow, ScanRows, Transact, PutObject, FetchObject, RemoveObject>;

/// What the requesting node knows about the effect of its request.
enum class PlatformOutcome : std::uint8_t {
    Ok,
    NotFound,
    ConditionFailed, ///< A condition did not hold; the transaction was not applied.
    Unavailable,     ///< The platform rejected the request; nothing was applied.
    Unknown          ///< No answer; a write may have been applied or may still be.
};

std::string_view name(PlatformOutcome outcome);

struct PlatformRequest
{
    PlatformRequestId id;
    PlatformOperation operation;
};

struct PlatformAnswer
{
    PlatformRequestId id;
    PlatformOutcome outcome = PlatformOutcome::Unknown;
    std::vector<TableRow> rows; ///< Result of FetchRow and ScanRows.
    std::string content;        ///< Result of FetchObject.
};

} // namespace godwitlift
