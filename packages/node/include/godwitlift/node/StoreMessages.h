/// \file
/// Requests to the platform's metadata store and their answers.
#pragma once

#include "godwitlift/traffic/StorePosition.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace godwitlift {

/// How a call to the store ended.
enum class StoreOutcome : std::uint8_t {
    Done,
    Refused,     ///< Not executed: the store is unavailable or limits the rate.
    Conflict,    ///< Not executed: the row has another revision than expected.
    HistoryGone, ///< The requested changes are no longer retained.
    Unknown      ///< No answer: may have been executed, or be executed later.
};

/// Stable lower-case name for logs and metrics.
std::string_view name(StoreOutcome outcome);

/// One row, identified by table and key.
struct StoreRow
{
    std::string table;
    std::string key;
    std::string value;
    StoreRevision revision = 0;
    bool isDeleted = false;
};

/// One request to the store.
struct StoreRequest
{
    enum class Kind : std::uint8_t { List, Watch, Put, Remove };

    Kind kind = Kind::List;
    std::string table;
    std::string key;      ///< For Put and Remove.
    std::string value;    ///< For Put.
    std::string firstKey; ///< For List: first key to return.
    std::string endKey;   ///< For List: returns only keys before this one; empty is no bound.
    /// For Put: the row must have this revision; 0 if it must not exist. None is unconditional.
    std::optional<StoreRevision> expectedRevision;
    StoreRevision afterRevision = 0; ///< For Watch: return changes after this revision.
    absl::Duration watchTimeout;     ///< For Watch: how long to wait for the first change.
    bool isOnNewConnection = false;  ///< An open connection may have gone silent unnoticed.
};

/// Stable lower-case name for logs and metrics.
std::string_view name(StoreRequest::Kind kind);

/// Answer to a request; only List and Watch return rows.
struct StoreAnswer
{
    StoreOutcome outcome = StoreOutcome::Unknown;
    std::vector<StoreRow> rows;
    StoreEra era = 0;               ///< Also of answers that refuse the request.
    StoreRevision revision = 0;     ///< Newest revision of the store at the time of the answer.
    bool hasMore = false;           ///< The list continues after the last row.
    std::size_t unreadableRows = 0; ///< Number of rows that could not be decoded and were omitted.
};

} // namespace godwitlift
