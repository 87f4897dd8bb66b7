/// \file
/// Rows and objects that store the published versions on the platform.
#pragma once

#include "godwitlift/configuration/ConfigurationDelta.h"
#include "godwitlift/platform/PlatformMessages.h"

#include <optional>
#include <string>
#include <vector>

namespace godwitlift {

/// The row that names the newest version. Its revision is the version number.
struct HeadRecord
{
    Version version;
    Digest digest; ///< Digest of the whole configuration.
};

/// The row of one published version; rows of all versions form the history.
struct VersionRecord
{
    Version version;
    Digest digest;
    OperationId operation;
    std::string author; ///< Operator who confirmed the plan.
    std::string note;
    std::int64_t publishedUnixMs = 0;
    std::vector<std::string> changedItems; ///< Names of the items put or removed, sorted.

    std::string snapshotObjectName() const;
    std::string deltaObjectName() const;
};

std::string headKey();
std::string versionKey(Version version);
std::string versionPrefix();
std::string operationKey(const OperationId &operation);

TableRow toRow(const HeadRecord &head);
TableRow toRow(const VersionRecord &record);
/// The row that maps an operation to its version, so that a repeated confirmation finds the result.
TableRow toOperationRow(const VersionRecord &record);

/// Empty if the row is malformed.
std::optional<HeadRecord> headFromRow(const TableRow &row);
/// Reads version rows and operation rows, which hold the same value.
std::optional<VersionRecord> versionFromRow(const TableRow &row);

} // namespace godwitlift
