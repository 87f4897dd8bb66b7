/// \file
/// JSON encoding of the operator API.
#include "OperatorApiJson.h"

#include "godwitlift/configuration/ConfigurationCodec.h"
#include "godwitlift/json/ObjectReader.h"

#include <limits>

namespace godwitlift {

namespace {

using nlohmann::json;

/// Extracts the only object from the canonical text of a configuration with one object; null if
/// \p text is empty.
json singleObject(const std::string &text)
{
    if (text.empty())
        return nullptr;
    const json configuration = json::parse(text);
    for (const auto &kind : configuration.items()) {
        if (!kind.value().empty())
            return kind.value().begin().value();
    }
    return nullptr;
}

json toJson(const VersionRecord &record)
{
    return json{ { "version", record.version.value() },
                 { "digest", record.digest.value() },
                 { "operation", record.operation.value() },
                 { "author", record.author },
                 { "note", record.note },
                 { "published_unix_ms", record.publishedUnixMs },
                 { "touched", record.changedItems } };
}

json toJson(const ZoneReport &report)
{
    json lagging = json::array();
    for (const LaggingHost &host : report.laggingHosts) {
        json entry{ { "host", host.host.value() }, { "held", host.heldVersion.value() } };
        if (host.refusedVersion != Version()) {
            entry["refused"] = host.refusedVersion.value();
            entry["problem"] = host.problem;
        }
        lagging.push_back(std::move(entry));
    }
    return json{ { "zone", report.zone.value() },
                 { "hosts", report.hostCount },
                 { "lowest", report.lowestVersion.value() },
                 { "refusals", report.refusalCount },
                 { "as_of_unix_ms", report.asOfUnixMs },
                 { "lagging", std::move(lagging) } };
}

/// Encodes each kind of publication outcome.
struct OutcomeEncoder
{
    json operator()(const Published &outcome) const
    {
        json value = toJson(outcome.record);
        value["outcome"] = "published";
        return value;
    }
    json operator()(const Conflict &outcome) const
    {
        return json{ { "outcome", "conflict" }, { "problem", outcome.problem } };
    }
    json operator()(const PlanRejected &outcome) const
    {
        return json{ { "outcome", "rejected" }, { "problem", outcome.problem } };
    }
    json operator()(const PublishingFailed &outcome) const
    {
        return json{ { "outcome", outcome.mayBePublished ? "unknown" : "failed" },
                     { "problem", outcome.problem } };
    }
};

} // namespace

json toJson(const Plan &plan)
{
    json changes = json::array();
    for (const PlannedChange &change : plan.changes())
        changes.push_back(json{ { "object", change.item.text() },
                                { "kind", std::string(name(change.kind)) },
                                { "before", singleObject(change.before) },
                                { "after", singleObject(change.after) } });
    return json{ { "base", plan.baseVersion().value() },
                 { "plan", plan.digest().value() },
                 { "changes_digest", plan.changesDigest().value() },
                 { "delta", json::parse(encode(plan.delta())) },
                 { "changes", std::move(changes) } };
}

json toJson(const PublicationOutcome &outcome)
{
    return std::visit(OutcomeEncoder(), outcome);
}

json toJson(const HistoryListing &listing)
{
    json versions = json::array();
    for (const VersionRecord &record : listing.versions)
        versions.push_back(toJson(record));
    return json{ { "versions", std::move(versions) }, { "problem", listing.problem } };
}

json toJson(const FleetStatus &status, const NodeStatus &node)
{
    json zones = json::array();
    for (const ZoneReport &report : status.reports)
        zones.push_back(toJson(report));
    return json{ { "zones", std::move(zones) },
                 { "problem", status.problem },
                 { "node",
                   { { "version", node.version.value() },
                     { "ready", node.isReady },
                     { "watches_platform", node.isPollingPlatform },
                     { "platform_reachable", node.isPlatformReachable },
                     { "doubts_itself", node.isIsolated },
                     { "level", node.relayLevel },
                     { "parent", node.parent.value() },
                     { "hosts", node.hostCount } } } };
}

Result<Confirmation> decodeConfirmation(std::string_view text)
{
    BOOST_LEAF_AUTO(document, parseJson(text));
    std::vector<InputFault> faults;
    ObjectReader reader(document, "", faults);
    Confirmation confirmation;
    confirmation.operation = OperationId(reader.requiredText("operation"));
    if (!confirmation.operation.isEmpty() && !isIdentifier(confirmation.operation.value()))
        reader.addFault("operation", "not an identifier");
    confirmation.note = reader.textOr("note", "-").substr(0, 500);
    confirmation.baseVersion =
            Version(reader.requiredInteger("base", 0, std::numeric_limits<std::int64_t>::max()));
    confirmation.changesDigest = Digest(reader.requiredText("changes_digest"));
    const json *delta = reader.object("delta");
    if (delta == nullptr && !reader.has("delta"))
        reader.addFault("delta", "missing");
    reader.reportUnknownKeys();
    if (!faults.empty())
        return boost::leaf::new_error(InputError{ std::move(faults) });
    BOOST_LEAF_ASSIGN(confirmation.delta, decodeDelta(delta->dump()));
    return confirmation;
}

} // namespace godwitlift
