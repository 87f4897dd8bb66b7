/// \file
/// Rows and objects in which the platform keeps the published versions.
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
    std::string author; ///< Operator who confirmed it.
    std::string note;
    std::int64_t publishedUnixMs = 0;
    std::vector<std::string> touched; ///< Names of the objects put or removed, sorted.

    std::string snapshotName() const;
    std::string deltaName() const;
};

std::string headKey();
std::string versionKey(Version version);
std::string versionPrefix();
std::string operationKey(const OperationId &operation);

TableRow toRow(const HeadRecord &head);
TableRow toRow(const VersionRecord &record);
/// The row under which a repeated confirmation finds the version it already made.
TableRow toOperationRow(const VersionRecord &record);

/// Empty if the row does not have the expected form.
std::optional<HeadRecord> headFromRow(const TableRow &row);
/// Reads version rows and operation rows, which hold the same value.
std::optional<VersionRecord> versionFromRow(const TableRow &row);

} // namespace godwitlift
