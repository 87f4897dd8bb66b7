/// \file
/// Requests to the platform and their answers as values, so that decisions can ask without calling.
#pragma once

#include "godwitlift/base/StrongId.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace godwitlift {

/// Correlates a platform request with its answer within one node.
using PlatformRequestId = StrongNumber<struct PlatformRequestIdTag>;

/// One row of the table service.
struct TableRow
{
    std::string key;
    std::uint64_t revision = 0; ///< Chosen by the writer; conditions compare it.
    std::string value;

    friend bool operator==(const TableRow &, const TableRow &) = default;
};

/// What must be true of a row for a transaction to apply.
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

/// One put of a transaction.
struct ConditionalPut
{
    TableRow row;
    RowCondition condition;
};

struct FetchRow
{
    std::string key;
};

/// Reads rows whose keys start with `prefix`, in key order, starting after `after`.
struct ScanRows
{
    std::string prefix;
    std::string after;
    std::size_t limit = 0;
};

/// Applies every put if every condition holds, otherwise none.
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

/// What the asking node knows about the effect of its request.
enum class PlatformOutcome : std::uint8_t {
    Ok,
    NotFound,
    ConditionFailed, ///< The transaction applied nothing.
    Unavailable,     ///< The platform refused; nothing was applied.
    Unknown          ///< No answer; the write may have been applied, now or later.
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
    std::vector<TableRow> rows; ///< Of FetchRow and ScanRows.
    std::string content;        ///< Of FetchObject.
};

} // namespace godwitlift
