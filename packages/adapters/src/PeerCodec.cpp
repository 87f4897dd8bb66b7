/// \file
/// Conversion between peer messages and their protobuf form.
#include "PeerCodec.h"

#include <algorithm>

namespace godwitlift {

namespace {

constexpr int MaxRecords = 2'000;
constexpr int MaxStamps = 100'000;
constexpr int MaxZoneEntries = 1'000;

void fill(wire::DeltaStep &to, const DeltaStep &step)
{
    to.set_from(step.from.value());
    to.set_to(step.to.value());
    to.set_digest(step.digest.value());
    to.set_text(step.text);
}

void fill(wire::ZoneReport &to, const ZoneReport &report)
{
    to.set_zone(report.zone.value());
    to.set_hosts(report.hostCount);
    to.set_lowest(report.lowestVersion.value());
    to.set_refusals(report.refusalCount);
    to.set_as_of_unix_ms(report.asOfUnixMs);
    for (const LaggingHost &host : report.laggingHosts) {
        wire::LaggingHost &entry = *to.add_lagging();
        entry.set_host(host.host.value());
        entry.set_held(host.heldVersion.value());
        entry.set_refused(host.refusedVersion.value());
        entry.set_problem(host.problem);
    }
}

ZoneReport read(const wire::ZoneReport &from)
{
    ZoneReport report;
    report.zone = ZoneId(from.zone());
    report.hostCount = from.hosts();
    report.lowestVersion = Version(from.lowest());
    report.refusalCount = from.refusals();
    report.asOfUnixMs = from.as_of_unix_ms();
    for (const wire::LaggingHost &entry : from.lagging())
        report.laggingHosts.push_back({ HostId(entry.host()), Version(entry.held()),
                                        Version(entry.refused()), entry.problem() });
    return report;
}

template<typename Field>
std::vector<ZoneReport> readReports(const Field &from)
{
    std::vector<ZoneReport> reports;
    for (const wire::ZoneReport &report : from)
        reports.push_back(read(report));
    return reports;
}

void fill(wire::Stamp &to, const RecordStamp &stamp)
{
    to.set_incarnation(stamp.incarnation.value());
    to.set_sequence(stamp.sequence.value());
    to.set_liveness(static_cast<std::uint32_t>(stamp.liveness));
}

RecordStamp read(const wire::Stamp &from)
{
    const auto liveness = std::min<std::uint32_t>(from.liveness(), 2);
    return { Incarnation(from.incarnation()), Sequence(from.sequence()),
             static_cast<Liveness>(liveness) };
}

void fill(wire::HostRecord &to, const HostRecord &record)
{
    to.set_host(record.host.value());
    to.set_zone(record.zone.value());
    to.set_region(record.region.value());
    to.set_address(record.address.value());
    fill(*to.mutable_stamp(), record.stamp);
    to.set_state(static_cast<std::uint32_t>(record.state));
    for (const BackendServer &server : record.backendServers) {
        wire::BackendServer &entry = *to.add_backend_servers();
        entry.set_id(server.id.value());
        entry.set_service(server.service.value());
        entry.set_address(server.address.value());
        entry.set_slots(server.slots);
        entry.set_is_draining(server.state == BackendServerState::Draining);
        entry.set_started_unix_ms(server.startedUnixMs);
    }
}

HostRecord read(const wire::HostRecord &from)
{
    HostRecord record;
    record.host = HostId(from.host());
    record.zone = ZoneId(from.zone());
    record.region = RegionId(from.region());
    record.address = Address(from.address());
    record.stamp = read(from.stamp());
    record.state = static_cast<HostState>(std::min<std::uint32_t>(from.state(), 2));
    for (const wire::BackendServer &entry : from.backend_servers()) {
        BackendServer server;
        server.id = BackendServerId(entry.id());
        server.service = ServiceId(entry.service());
        server.address = Address(entry.address());
        server.slots = entry.slots();
        server.state =
                entry.is_draining() ? BackendServerState::Draining : BackendServerState::Ready;
        server.startedUnixMs = entry.started_unix_ms();
        record.backendServers.push_back(std::move(server));
    }
    return record;
}

/// Fills the field of the envelope that belongs to the kind of message.
struct EnvelopeEncoder
{
    wire::Envelope &to;

    void operator()(const FollowRequest &message) const
    {
        wire::FollowRequest &field = *to.mutable_follow_request();
        field.set_is_follower(message.isFollower);
        field.set_held(message.heldVersion.value());
        field.set_refused(message.refusedVersion.value());
        field.set_presence_digest(message.presenceDigest);
        for (const ZoneReport &report : message.reports)
            fill(*field.add_reports(), report);
    }
    void operator()(const FollowAnswer &message) const
    {
        wire::FollowAnswer &field = *to.mutable_follow_answer();
        field.set_is_admitted(message.isAdmitted);
        field.set_retry_after_ms(toWireMilliseconds(message.retryAfter));
        field.set_held(message.heldVersion.value());
        field.set_presence_digest(message.presenceDigest);
    }
    void operator()(const StepsOffer &message) const
    {
        for (const DeltaStep &step : message.steps)
            fill(*to.mutable_steps_offer()->add_steps(), step);
    }
    void operator()(const SnapshotRequest &message) const
    {
        to.mutable_snapshot_request()->set_above(message.aboveVersion.value());
    }
    void operator()(const SnapshotOffer &message) const
    {
        wire::SnapshotOffer &field = *to.mutable_snapshot_offer();
        field.set_version(message.snapshot.version.value());
        field.set_digest(message.snapshot.digest.value());
        field.set_text(message.snapshot.text);
    }
    void operator()(const RecordsOffer &message) const
    {
        for (const HostRecord &record : message.records)
            fill(*to.mutable_records_offer()->add_records(), record);
    }
    void operator()(const ZoneDigestsOffer &message) const
    {
        wire::ZoneDigestsOffer &field = *to.mutable_zone_digests();
        for (const ZoneDigest &digest : message.digests) {
            wire::ZoneDigest &entry = *field.add_digests();
            entry.set_zone(digest.zone.value());
            entry.set_digest(digest.digest);
        }
    }
    void operator()(const StampsOffer &message) const
    {
        wire::StampsOffer &field = *to.mutable_stamps_offer();
        field.set_zone(message.zone.value());
        field.set_wants_return(message.expectsReply);
        for (const StampedHost &host : message.stamps) {
            wire::StampedHost &entry = *field.add_stamps();
            entry.set_host(host.host.value());
            fill(*entry.mutable_stamp(), host.stamp);
        }
    }
    void operator()(const Probe &message) const
    {
        wire::Probe &field = *to.mutable_probe();
        field.set_number(message.number);
        field.set_target(message.target.value());
        field.set_origin(message.origin.value());
    }
    void operator()(const ProbeAnswer &message) const
    {
        to.mutable_probe_answer()->set_number(message.number);
    }
    void operator()(const StatusRequest &message) const
    {
        to.mutable_status_request()->set_number(message.number);
    }
    void operator()(const StatusAnswer &message) const
    {
        wire::StatusAnswer &field = *to.mutable_status_answer();
        field.set_number(message.number);
        for (const ZoneReport &report : message.reports)
            fill(*field.add_reports(), report);
    }
};

FollowRequest read(const wire::FollowRequest &from)
{
    FollowRequest message;
    message.isFollower = from.is_follower();
    message.heldVersion = Version(from.held());
    message.refusedVersion = Version(from.refused());
    message.presenceDigest = from.presence_digest();
    message.reports = readReports(from.reports());
    return message;
}

FollowAnswer read(const wire::FollowAnswer &from)
{
    FollowAnswer message;
    message.isAdmitted = from.is_admitted();
    message.retryAfter = absl::Milliseconds(from.retry_after_ms());
    message.heldVersion = Version(from.held());
    message.presenceDigest = from.presence_digest();
    return message;
}

StepsOffer read(const wire::StepsOffer &from)
{
    StepsOffer message;
    for (const wire::DeltaStep &step : from.steps())
        message.steps.push_back(
                { Version(step.from()), Version(step.to()), Digest(step.digest()), step.text() });
    return message;
}

RecordsOffer read(const wire::RecordsOffer &from)
{
    RecordsOffer message;
    for (const wire::HostRecord &record : from.records())
        message.records.push_back(read(record));
    return message;
}

ZoneDigestsOffer read(const wire::ZoneDigestsOffer &from)
{
    ZoneDigestsOffer message;
    for (const wire::ZoneDigest &entry : from.digests())
        message.digests.push_back({ ZoneId(entry.zone()), entry.digest() });
    return message;
}

StampsOffer read(const wire::StampsOffer &from)
{
    StampsOffer message;
    message.zone = ZoneId(from.zone());
    message.expectsReply = from.wants_return();
    for (const wire::StampedHost &entry : from.stamps())
        message.stamps.push_back({ HostId(entry.host()), read(entry.stamp()) });
    return message;
}

bool exceedsLimits(const wire::Envelope &envelope)
{
    return envelope.records_offer().records_size() > MaxRecords
           || envelope.stamps_offer().stamps_size() > MaxStamps
           || envelope.zone_digests().digests_size() > MaxZoneEntries
           || envelope.follow_request().reports_size() > MaxZoneEntries
           || envelope.status_answer().reports_size() > MaxZoneEntries;
}

} // namespace

wire::Envelope toWire(const PeerMessage &message)
{
    wire::Envelope envelope;
    std::visit(EnvelopeEncoder{ envelope }, message);
    // The loops above do not create the field of an empty list, which would leave the kind unset.
    if (std::holds_alternative<RecordsOffer>(message))
        envelope.mutable_records_offer();
    if (std::holds_alternative<StepsOffer>(message))
        envelope.mutable_steps_offer();
    return envelope;
}

std::optional<PeerMessage> fromWire(const wire::Envelope &envelope)
{
    if (exceedsLimits(envelope))
        return std::nullopt;
    switch (envelope.message_case()) {
    case wire::Envelope::kFollowRequest:
        return read(envelope.follow_request());
    case wire::Envelope::kFollowAnswer:
        return read(envelope.follow_answer());
    case wire::Envelope::kStepsOffer:
        return read(envelope.steps_offer());
    case wire::Envelope::kSnapshotRequest:
        return SnapshotRequest{ Version(envelope.snapshot_request().above()) };
    case wire::Envelope::kSnapshotOffer:
        return SnapshotOffer{ { Version(envelope.snapshot_offer().version()),
                                Digest(envelope.snapshot_offer().digest()),
                                envelope.snapshot_offer().text() } };
    case wire::Envelope::kRecordsOffer:
        return read(envelope.records_offer());
    case wire::Envelope::kZoneDigests:
        return read(envelope.zone_digests());
    case wire::Envelope::kStampsOffer:
        return read(envelope.stamps_offer());
    case wire::Envelope::kProbe:
        return Probe{ envelope.probe().number(), HostId(envelope.probe().target()),
                      HostId(envelope.probe().origin()) };
    case wire::Envelope::kProbeAnswer:
        return ProbeAnswer{ envelope.probe_answer().number() };
    case wire::Envelope::kStatusRequest:
        return StatusRequest{ envelope.status_request().number() };
    case wire::Envelope::kStatusAnswer:
        return StatusAnswer{ envelope.status_answer().number(),
                             readReports(envelope.status_answer().reports()) };
    case wire::Envelope::MESSAGE_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace godwitlift
