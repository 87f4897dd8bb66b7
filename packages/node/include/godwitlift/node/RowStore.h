/// \file
/// The platform's metadata store as the product sees it.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace godwitlift {

/// Position in the store's order of transactions.
using StoreRevision = std::uint64_t;

/// How a call to the store ended.
enum class StoreOutcome : std::uint8_t {
    Done,
    Refused,     ///< Nothing was done: unavailable or over its rate.
    HistoryGone, ///< The changes asked for are no longer kept.
    Unknown      ///< No answer: it may have been done, or be done later.
};

/// Stable lower-case name for logs and metrics.
std::string_view name(StoreOutcome outcome);

/// One row. Rows are named by table and key.
struct StoreRow
{
    std::string table;
    std::string key;
    std::string value;
    StoreRevision revision = 0;
    bool isDeleted = false;
};

/// One call.
struct StoreRequest
{
    enum class Kind : std::uint8_t { List, Watch, Put, Remove };

    Kind kind = Kind::List;
    std::string table;
    std::string key;         ///< Of Put and Remove.
    std::string value;       ///< Of Put.
    std::string from;        ///< Of List: first key wanted.
    StoreRevision after = 0; ///< Of Watch: changes later than this one.
    absl::Duration wait;     ///< Of Watch: how long to wait for the first change.
};

/// Stable lower-case name for logs and metrics.
std::string_view name(StoreRequest::Kind kind);

/// Its answer; rows only of List and Watch.
struct StoreAnswer
{
    StoreOutcome outcome = StoreOutcome::Unknown;
    std::vector<StoreRow> rows;
    StoreRevision revision = 0; ///< Newest revision as of the answer.
    bool hasMore = false;       ///< More rows follow after the last one.
    std::size_t unreadable = 0; ///< Rows that could not be read and were left out.
};

} // namespace godwitlift
