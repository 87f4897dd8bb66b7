/// \file
/// Keys and JSON values of the rows, and names of the objects.
#include "godwitlift/publishing/PublishedRecords.h"

#include "godwitlift/json/ObjectReader.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <limits>

namespace godwitlift {

namespace {

using nlohmann::json;

std::string zeroPadded(Version version)
{
    return absl::StrFormat("%020d", version.value());
}

std::string versionRowValue(const VersionRecord &record)
{
    return json{
        { "version", record.version.value() },
        { "digest", record.digest.value() },
        { "operation", record.operation.value() },
        { "author", record.author },
        { "note", record.note },
        { "published_unix_ms", record.publishedUnixMs },
        { "touched", record.changedItems }
    }.dump();
}

std::optional<json> parseObject(const std::string &text)
{
    json value = json::parse(text, nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    return value;
}

} // namespace

std::string VersionRecord::snapshotObjectName() const
{
    return absl::StrCat("snapshot/", zeroPadded(version), "-", digest.value());
}

std::string VersionRecord::deltaObjectName() const
{
    return absl::StrCat("delta/", zeroPadded(version), "-", digest.value());
}

std::string headKey()
{
    return "head";
}

std::string versionPrefix()
{
    return "version/";
}

std::string versionKey(Version version)
{
    return versionPrefix() + zeroPadded(version);
}

std::string operationKey(const OperationId &operation)
{
    return "operation/" + operation.value();
}

TableRow toRow(const HeadRecord &head)
{
    const json value{ { "version", head.version.value() }, { "digest", head.digest.value() } };
    return { headKey(), head.version.value(), value.dump() };
}

TableRow toRow(const VersionRecord &record)
{
    return { versionKey(record.version), record.version.value(), versionRowValue(record) };
}

TableRow toOperationRow(const VersionRecord &record)
{
    return { operationKey(record.operation), record.version.value(), versionRowValue(record) };
}

std::optional<HeadRecord> headFromRow(const TableRow &row)
{
    const auto value = parseObject(row.value);
    if (!value)
        return std::nullopt;
    std::vector<InputFault> faults;
    ObjectReader reader(*value, "head", faults);
    HeadRecord head;
    head.version =
            Version(reader.requiredInteger("version", 1, std::numeric_limits<std::int64_t>::max()));
    head.digest = Digest(reader.requiredText("digest"));
    if (!faults.empty())
        return std::nullopt;
    return head;
}

std::optional<VersionRecord> versionFromRow(const TableRow &row)
{
    constexpr std::uint64_t MaxInteger = std::numeric_limits<std::int64_t>::max();
    const auto value = parseObject(row.value);
    if (!value)
        return std::nullopt;
    std::vector<InputFault> faults;
    ObjectReader reader(*value, "version", faults);
    VersionRecord record;
    record.version = Version(reader.requiredInteger("version", 1, MaxInteger));
    record.digest = Digest(reader.requiredText("digest"));
    record.operation = OperationId(reader.requiredText("operation"));
    record.author = reader.requiredText("author");
    record.note = value->value("note", std::string());
    record.publishedUnixMs =
            static_cast<std::int64_t>(reader.integer("published_unix_ms", 0, MaxInteger, 0));
    record.changedItems = reader.texts("touched");
    if (!faults.empty())
        return std::nullopt;
    return record;
}

} // namespace godwitlift
