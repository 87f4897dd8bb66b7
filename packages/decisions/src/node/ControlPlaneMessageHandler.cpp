/// \file
/// Handlers for the types of peer messages.
#include "godwitlift/node/ControlPlane.h"

#include <absl/strings/str_cat.h>

namespace godwitlift {

/// Handles one message. Exists only during ControlPlane::receive().
struct ControlPlane::MessageHandler
{
    ControlPlane &plane;
    const Peer &from;
    absl::Time now;
    ControlEffects &effects;

    void reply(PeerMessage message) const
    {
        effects.messages.push_back({ from.address, std::move(message) });
    }

    void operator()(const FollowRequest &request) const
    {
        plane.m_configuration.recordKnownVersion(request.heldVersion);
        FollowAnswer answer;
        answer.heldVersion = plane.configuration().version();
        answer.presenceDigest = plane.directory().digest();
        plane.offerConfiguration(from.address, request.heldVersion, request.refusedVersion, now,
                                 effects, &answer);
        if (request.isFollower) {
            Follower follower{ from.address, request.heldVersion, request.refusedVersion, now, {} };
            if (!request.reports.empty())
                follower.subtreeReport = request.reports.front();
            plane.m_relayTreeNode.updateFollower(from.host, std::move(follower));
        } else {
            for (const ZoneReport &report : request.reports) {
                if (report.zone != plane.m_identity.zone)
                    plane.m_fleetReports.merge(report);
            }
        }
        reply(answer);
        if (request.heldVersion > answer.heldVersion
            && request.heldVersion != plane.m_configuration.refusedVersion())
            reply(plane.makeFollowRequest(false, now));
    }

    void operator()(const FollowAnswer &answer) const
    {
        plane.m_hasPeerAnswered = true;
        plane.m_configuration.recordKnownVersion(answer.heldVersion);
        plane.m_relayTreeNode.onFollowAnswer(from.host, now);
        if (!answer.isAdmitted)
            plane.m_relayTreeNode.deferHeartbeatUntil(now + answer.retryAfter);
        if (plane.m_presence.recordPeerDigest(answer.presenceDigest, now))
            reply(ZoneDigestsOffer{ plane.directory().zoneDigests() });
    }

    void operator()(const StepsOffer &offer) const
    {
        const Version previousVersion = plane.configuration().version();
        const ConfigurationChange change = plane.m_configuration.applySteps(offer.steps);
        plane.onConfigurationChange(change, previousVersion, from, now, effects);
    }

    void operator()(const SnapshotRequest &request) const
    {
        plane.offerSnapshot(from.address, request.aboveVersion, now, effects);
    }

    void operator()(const SnapshotOffer &offer) const
    {
        const Version previousVersion = plane.configuration().version();
        const ConfigurationChange change = plane.m_configuration.applySnapshot(offer.snapshot);
        if (!change.applied && plane.m_configuration.refusedVersion() == offer.snapshot.version)
            effects.logs.push_back({ "version_refused",
                                     { { "version", absl::StrCat(offer.snapshot.version.value()) },
                                       { "problem", plane.ownVersionStatus().problem } } });
        plane.onConfigurationChange(change, previousVersion, from, now, effects);
    }

    void operator()(const RecordsOffer &offer) const
    {
        plane.queueForDissemination(plane.m_presence.merge(offer.records, now), from.host);
    }

    void operator()(const ZoneDigestsOffer &offer) const
    {
        for (PeerMessage &message : plane.m_presence.replyToZoneDigests(offer))
            reply(std::move(message));
    }

    void operator()(const StampsOffer &offer) const
    {
        for (PeerMessage &message : plane.m_presence.replyToStamps(offer))
            reply(std::move(message));
    }

    void operator()(const Probe &probe) const
    {
        if (!probe.target.isEmpty() && probe.target != plane.m_identity.host) {
            plane.send(probe.target, probe, effects);
            return;
        }
        if (probe.origin == from.host || plane.directory().find(probe.origin) == nullptr)
            reply(ProbeAnswer{ probe.number });
        else
            plane.send(probe.origin, ProbeAnswer{ probe.number }, effects);
    }

    void operator()(const ProbeAnswer &answer) const
    {
        plane.m_detector.onProbeAnswer(answer.number);
    }

    void operator()(const StatusRequest &request) const
    {
        reply(StatusAnswer{ request.number, plane.zoneReports(now) });
    }

    void operator()(const StatusAnswer &answer) const
    {
        const auto it = plane.m_pendingStatusRequests.find(answer.number);
        if (it == plane.m_pendingStatusRequests.end())
            return;
        effects.answers.push_back({ it->second.request, FleetStatus{ answer.reports, {} } });
        plane.m_pendingStatusRequests.erase(it);
    }
};

ControlEffects ControlPlane::receive(const Peer &from, const PeerMessage &message, absl::Time now)
{
    ControlEffects effects;
    std::visit(MessageHandler{ *this, from, now, effects }, message);
    updateReadiness(now, effects);
    return effects;
}

ControlEffects ControlPlane::onPlatformAnswer(const PlatformAnswer &answer, absl::Time now)
{
    ControlEffects effects;
    const Version previousVersion = configuration().version();
    const ConfigurationChange change = m_configuration.onPlatformAnswer(answer, now, effects);
    onConfigurationChange(change, previousVersion, {}, now, effects);
    updateReadiness(now, effects);
    return effects;
}

} // namespace godwitlift
