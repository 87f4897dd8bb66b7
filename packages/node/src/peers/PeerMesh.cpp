/// \file
/// Discovery, gate reports, configuration transfer and drain records between nodes.
#include "peers/PeerMesh.h"

#include "godwitlift/traffic/WatcherElection.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace godwitlift {

namespace {

/// Table of the store with the hosts.
constexpr const char *HostTable = "gl-hosts";
/// The delay before a registration retry doubles with each failure up to the maximum.
constexpr absl::Duration InitialRegistrationDelay = absl::Milliseconds(200);
constexpr absl::Duration MaxRegistrationDelay = absl::Seconds(1);
/// Time after which an unanswered configuration request is repeated, usually to another node.
constexpr absl::Duration ConfigurationRequestTimeout = absl::Milliseconds(150);
/// Time for a new version to arrive from a node of the same zone before a node of another zone is
/// asked: a few rounds in which each node that has the version sends it to others.
constexpr absl::Duration RemoteZoneDelay = absl::Milliseconds(600);
/// Changes up to this size are sent to every node that asks. If the bandwidth of the link is known,
/// larger ones are sent to one node at a time.
constexpr std::size_t SmallChangesLimitBytes = 16'384;
/// Share of the link's bandwidth for large configuration changes.
constexpr double LargeChangesLinkShare = 0.7;

std::string encodeHostRow(const PeerHost &host)
{
    return nlohmann::json{
        { "host", host.host.value() },
        { "address", host.address.value() },
        { "zone", host.zone.value() }
    }.dump();
}

/// Returns none for a row that is malformed or has another format.
std::optional<PeerHost> decodeHostRow(const std::string &text)
{
    const auto row = nlohmann::json::parse(text, nullptr, false);
    if (!row.is_object())
        return std::nullopt;
    for (const char *key : { "host", "address", "zone" }) {
        if (!row.contains(key) || !row[key].is_string())
            return std::nullopt;
    }
    PeerHost host{ HostId(row["host"].get<std::string>()),
                   Address(row["address"].get<std::string>()),
                   ZoneId(row["zone"].get<std::string>()) };
    if (host.host.isEmpty() || !parseEndpoint(host.address.value()))
        return std::nullopt;
    return host;
}

/// Time in which a node that has connected says who it is; its first frame is small.
constexpr absl::Duration HelloTimeout = absl::Seconds(5);

} // namespace

PeerMesh::PeerMesh(asio::io_context &loop, LinkScheduler &linkScheduler, InputKeeper &inputKeeper,
                   Options options, StoreClient &store, BackendServerGate &gate,
                   FinishTimeSelector &selector, CrashHistory &crashHistory, RateLimitedLog &log,
                   NodeMetrics &metrics, RandomSource &random)
    : m_loop(loop)
    , m_linkScheduler(linkScheduler)
    , m_inputKeeper(inputKeeper)
    , m_options(std::move(options))
    , m_store(store)
    , m_gate(gate)
    , m_selector(selector)
    , m_crashHistory(crashHistory)
    , m_log(log)
    , m_metrics(metrics)
    , m_random(random)
    , m_acceptor(loop.get_executor())
    , m_registrationTimer(loop.get_executor())
    , m_hostRowTimer(loop.get_executor())
    , m_ownGateway(gate, 0)
    , m_bodyReceiver(loop, m_options.linkMbps, gate)
    , m_drainReplicator(loop, m_options.ownHost.host, store, gate, log, metrics, random,
                        [this](const mesh::Frame &frame) { broadcast(frame); })
    , m_quarantineStore(loop, store, crashHistory, log, metrics, random)
    , m_reportSchedule(random)
    , m_registrationDelay(InitialRegistrationDelay)
{
    m_selector.addHost(m_options.ownHost.host, m_options.ownHost.zone);
}

PeerMesh::~PeerMesh()
{
    for (const auto &[key, session] : m_sessions)
        session->close();
}

bool PeerMesh::listen(std::string &error)
{
    const auto endpoint = parseEndpoint(m_options.peerAddress.value());
    boost::system::error_code errorCode;
    m_acceptor.open(endpoint->protocol(), errorCode);
    if (!errorCode)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), errorCode);
    if (!errorCode)
        m_acceptor.bind(*endpoint, errorCode);
    if (!errorCode)
        m_acceptor.listen(asio::socket_base::max_listen_connections, errorCode);
    if (errorCode) {
        error = errorCode.message();
        return false;
    }
    acceptNext();
    return true;
}

void PeerMesh::acceptNext()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, TcpSocket socket) {
        if (error == asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        if (!error) {
            auto session = std::make_shared<PeerSession>(
                    m_loop, m_linkScheduler, m_inputKeeper, m_bodyReceiver, std::move(socket),
                    m_gate, m_nextSourceNumber++, static_cast<PeerSessionObserver &>(*this));
            m_sessions[session.get()] = session;
            session->start();
            limitUnknownPeers();
        }
        acceptNext();
    });
}

void PeerMesh::limitUnknownPeers()
{
    std::size_t count = 0;
    std::shared_ptr<PeerSession> oldest;
    for (const auto &[key, session] : m_sessions) {
        if (session->isPeerKnown())
            continue;
        ++count;
        if (oldest == nullptr || session->openTime() < oldest->openTime())
            oldest = session;
    }
    if (count > m_options.unknownPeerLimit)
        closeSession(oldest, "unknown-peers");
}

void PeerMesh::closeSession(const std::shared_ptr<PeerSession> &session, std::string_view cause)
{
    m_log.write("session-closed",
                LogLine("session-closed").add("host", session->peer().value()).add("cause", cause),
                steadyNow());
    session->close();
    m_sessions.erase(session.get());
}

void PeerMesh::start(bool isFirstStart)
{
    m_gate.awaitDrainRecall();
    if (isFirstStart) {
        createHostRow();
        return;
    }
    recallFromStore();
    listHosts({});
}

void PeerMesh::recallFromStore()
{
    m_drainReplicator.start();
    m_quarantineStore.start();
}

void PeerMesh::createHostRow()
{
    StoreRequest request = makeHostRowRequest();
    request.expectedRevision = 0; // The row must not exist.
    m_store.call(std::move(request), [this](const StoreAnswer &answer) {
        if (answer.outcome == StoreOutcome::Done) {
            m_drainReplicator.startWithoutRow();
            onRegistered(answer);
            return;
        }
        recallFromStore();
        listHosts({});
    });
}

void PeerMesh::listHosts(const std::string &firstKey)
{
    StoreRequest request;
    request.kind = StoreRequest::Kind::List;
    request.table = HostTable;
    request.firstKey = firstKey;
    m_store.call(std::move(request), [this](const StoreAnswer &answer) { onHostsListed(answer); });
}

void PeerMesh::onHostsListed(const StoreAnswer &answer)
{
    if (answer.outcome != StoreOutcome::Done) {
        scheduleRegistrationRetry();
        return;
    }
    bool hasOwnRow = false;
    for (const StoreRow &row : answer.rows) {
        const auto host = decodeHostRow(row.value);
        if (!host || host->host.value() != row.key) {
            m_metrics.recordUndecodable("host-row");
            m_log.write("host-row-unreadable", LogLine("host-row-unreadable").add("key", row.key),
                        steadyNow());
            continue;
        }
        if (host->host == m_options.ownHost.host)
            hasOwnRow = *host == m_options.ownHost;
        else if (host->address == m_options.ownHost.address)
            deleteHostRow(host->host); // This host has replaced the one in the row.
        else
            addHost(*host);
    }
    if (answer.hasMore && !answer.rows.empty()) {
        // Appending the smallest key character gives the first possible key after the last row.
        listHosts(answer.rows.back().key + '!');
        return;
    }
    if (hasOwnRow || m_isRegistered) {
        m_isRegistered = true;
        return;
    }
    writeHostRow();
}

StoreRequest PeerMesh::makeHostRowRequest() const
{
    StoreRequest request;
    request.kind = StoreRequest::Kind::Put;
    request.table = HostTable;
    request.key = m_options.ownHost.host.value();
    request.value = encodeHostRow(m_options.ownHost);
    return request;
}

void PeerMesh::onRegistered(const StoreAnswer &answer)
{
    m_isRegistered = true;
    m_log.write("registered", LogLine("registered").add("revision", answer.revision), steadyNow());
    listHosts({});
}

void PeerMesh::writeHostRow()
{
    m_store.call(makeHostRowRequest(), [this](const StoreAnswer &answer) {
        if (answer.outcome == StoreOutcome::Done)
            onRegistered(answer);
        else
            scheduleRegistrationRetry();
    });
}

void PeerMesh::onStoreReset()
{
    m_drainReplicator.onStoreReset();
    m_quarantineStore.onStoreReset();
    if (m_isRegistered && !m_isShuttingDown)
        scheduleHostRowRestore(StoreResetSpread * m_random.uniformReal());
}

void PeerMesh::scheduleHostRowRestore(absl::Duration delay)
{
    expireAfter(m_hostRowTimer, delay);
    m_hostRowTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error && !m_isShuttingDown)
            restoreHostRow();
    });
}

void PeerMesh::restoreHostRow()
{
    const std::string &key = m_options.ownHost.host.value();
    StoreRequest request;
    request.kind = StoreRequest::Kind::List;
    request.table = HostTable;
    request.firstKey = key;
    request.endKey = key + '!'; // The first possible key after the host's own.
    m_store.call(std::move(request), [this](const StoreAnswer &answer) { onOwnRowRead(answer); });
}

void PeerMesh::onOwnRowRead(const StoreAnswer &answer)
{
    const auto retry = [this] {
        scheduleHostRowRestore(MaxRegistrationDelay * (0.5 + 0.5 * m_random.uniformReal()));
    };
    if (answer.outcome != StoreOutcome::Done) {
        retry();
        return;
    }
    StoreRequest request = makeHostRowRequest();
    request.expectedRevision = 0;
    for (const StoreRow &row : answer.rows) {
        if (row.key != request.key)
            continue;
        if (row.value == request.value)
            return;
        request.expectedRevision = row.revision;
    }
    m_store.call(std::move(request), [this, retry](const StoreAnswer &written) {
        if (written.outcome != StoreOutcome::Done) {
            retry();
            return;
        }
        m_log.write("host-row-restored",
                    LogLine("host-row-restored").add("revision", written.revision), steadyNow());
    });
}

void PeerMesh::scheduleRegistrationRetry()
{
    if (m_isShuttingDown)
        return;
    expireAfter(m_registrationTimer, m_registrationDelay * (0.5 + 0.5 * m_random.uniformReal()));
    m_registrationDelay = std::min(m_registrationDelay * 2, MaxRegistrationDelay);
    m_registrationTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            listHosts({});
    });
}

void PeerMesh::addHost(const PeerHost &host)
{
    if (host.host == m_options.ownHost.host || host.host.isEmpty())
        return;
    m_selector.addHost(host.host, host.zone);
    if (!m_endedHosts.contains(host.host))
        m_quotaExchange->addHost(host.host, host.zone);
    auto &link = m_links[host.host];
    if (link != nullptr) {
        link->setHost(host);
        return;
    }
    m_log.write("host-learnt",
                LogLine("host-learnt")
                        .add("host", host.host.value())
                        .add("zone", host.zone.value())
                        .add("address", host.address.value()),
                steadyNow());
    link = std::make_unique<PeerLink>(m_loop, m_linkScheduler, m_inputKeeper, host,
                                      static_cast<PeerLinkObserver &>(*this));
    link->start();
}

void PeerMesh::removeHost(const HostId &host, std::string_view cause)
{
    m_log.write("host-forgotten",
                LogLine("host-forgotten").add("host", host.value()).add("cause", cause),
                steadyNow());
    m_selector.removeHost(host);
    m_quotaExchange->removeHost(host);
    m_limitedServers.erase(host);
    m_dormantHosts.erase(host);
    m_departedHosts.erase(host);
    m_endedHosts.erase(host);
    m_links.erase(host);
}

void PeerMesh::updateUnreachableHosts(absl::Time now)
{
    std::vector<HostId> forgotten;
    for (const auto &[host, link] : m_links) {
        const absl::Duration downtime = link->downtime(now);
        if (HostRetention::hasEnded(downtime, m_departedHosts.contains(host), m_options.stopTimeout)
            && m_endedHosts.insert(host).second)
            m_quotaExchange->removeHost(host);
        if (!HostRetention::isDormant(downtime))
            continue;
        if (HostRetention::isForgotten(downtime) || m_departedHosts.contains(host))
            forgotten.push_back(host);
        if (m_dormantHosts.insert(host).second) {
            m_selector.removeHost(host);
            m_log.write("host-dormant", LogLine("host-dormant").add("host", host.value()), now);
        }
        link->setRetryDelay(HostRetention::retryDelay(m_dormantHosts.size(), m_random));
    }
    for (const HostId &host : forgotten)
        removeHost(host, "out-of-reach");
}

void PeerMesh::wakeHost(const PeerHost &host)
{
    if (m_dormantHosts.erase(host.host) == 0)
        return;
    m_links.at(host.host)->setRetryDelay(std::nullopt);
    m_selector.addHost(host.host, host.zone);
    // Others may have come back at the same time.
    for (const HostId &dormant : m_dormantHosts)
        m_links.at(dormant)->connectAfter(HostRetention::WakeSpread * m_random.uniformReal());
}

AttemptGateway *PeerMesh::gatewayTo(const HostId &host)
{
    if (host == m_options.ownHost.host)
        return &m_ownGateway;
    const auto it = m_links.find(host);
    return it == m_links.end() ? nullptr : it->second.get();
}

std::size_t PeerMesh::openLinkCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_links.begin(), m_links.end(),
                          [](const auto &entry) { return entry.second->isUp(); }));
}

bool PeerMesh::hasUnfinishedAnswers() const
{
    return std::any_of(m_sessions.begin(), m_sessions.end(),
                       [](const auto &entry) { return entry.second->hasUnfinishedAnswers(); });
}

void PeerMesh::tick()
{
    const absl::Time now = steadyNow();
    for (const auto &[host, link] : m_links)
        link->tick(now, m_links.size());
    updateUnreachableHosts(now);
    closeTimedOutSessions(now);
    // Nodes of the zone elect the watchers of the store by this state.
    const bool isStoreFailing = m_configurationUpdater->isStoreFailing();
    reportGate(isStoreFailing == m_wasStoreFailing ? ReportAudience::Due : ReportAudience::Zone);
    m_wasStoreFailing = isStoreFailing;
    m_drainReplicator.tick();
    m_quotaExchange->tick();
    updateWatchRole();
    m_configurationUpdater->tick();
    requestNewerConfiguration();
}

void PeerMesh::closeTimedOutSessions(absl::Time now)
{
    std::vector<std::shared_ptr<PeerSession>> timedOut;
    for (const auto &[key, session] : m_sessions) {
        if (now - session->lastReceiveTime() > LinkProbe::silenceLimit(m_links.size())
            || (!session->isPeerKnown() && now - session->openTime() > HelloTimeout))
            timedOut.push_back(session);
    }
    for (const auto &session : timedOut)
        closeSession(session, session->isPeerKnown() ? "silent" : "no-hello");
}

void PeerMesh::reportGate(ReportAudience audience)
{
    const absl::Time now = steadyNow();
    const GateReport report = makeGateReport();
    m_selector.onGateReport(m_options.ownHost.host, report, now);
    const auto callerCount = static_cast<std::size_t>(
            std::count_if(m_sessions.begin(), m_sessions.end(), [now](const auto &entry) {
                return ReportSchedule::isCaller(entry.second->reportRecipient(), now);
            }));
    const bool areCallersDue = audience == ReportAudience::All
                               || m_reportSchedule.areCallersDue(report, callerCount, now);
    std::optional<mesh::Frame> frame;
    for (const auto &[key, session] : m_sessions) {
        ReportRecipient &recipient = session->reportRecipient();
        const bool isAddressed = audience == ReportAudience::All
                                 || (audience == ReportAudience::Zone
                                     && session->peerZone() == m_options.ownHost.zone)
                                 || (areCallersDue && ReportSchedule::isCaller(recipient, now));
        if (!isAddressed && !ReportSchedule::isRefreshDue(recipient, now))
            continue;
        if (!frame)
            frame = makeGateState(report);
        session->send(*frame);
        m_reportSchedule.onReported(recipient, m_sessions.size(), now);
    }
    if (areCallersDue)
        m_reportSchedule.onCallersReported(report, now);
}

GateReport PeerMesh::makeGateReport() const
{
    GateReport report = m_gate.report();
    report.linkMbps = m_options.linkMbps;
    report.linkBacklog = m_linkScheduler.backlogTime();
    report.bodyBacklog = m_bodyReceiver.backlogTime();
    return report;
}

mesh::Frame PeerMesh::makeGateState(const GateReport &report) const
{
    mesh::Frame frame = encodeGateState(report, nodeState());
    m_rollouts->addStates(*frame.mutable_gate_state());
    return frame;
}

void PeerMesh::onRolloutStates(const HostId &host,
                               const google::protobuf::RepeatedPtrField<mesh::RolloutState> &states)
{
    for (const mesh::RolloutState &state : states)
        m_rollouts->onPeerState(host, state);
}

std::vector<DeciderCandidate> PeerMesh::deciderCandidates() const
{
    std::vector<DeciderCandidate> candidates;
    if (!m_isShuttingDown)
        candidates.push_back({ m_options.ownHost.host, m_configurationUpdater->isStoreFailing() });
    for (const auto &[host, state] : m_peerStates) {
        const auto link = m_links.find(host);
        if (link != m_links.end() && link->second->isUp() && !state.isShuttingDown)
            candidates.push_back({ host, state.isStoreFailing });
    }
    return candidates;
}

void PeerMesh::broadcast(const mesh::Frame &frame)
{
    for (const auto &[key, session] : m_sessions)
        session->send(frame);
}

void PeerMesh::sendTo(const HostId &host, const mesh::Frame &frame)
{
    const auto link = m_links.find(host);
    if (link != m_links.end() && link->second->isUp())
        link->second->send(frame);
}

void PeerMesh::broadcastCrash(const ServerCrash &crash)
{
    onCrashReported(m_options.ownHost.host, { crash, absl::ZeroDuration() });
    broadcast(encodeCrash({ crash, absl::ZeroDuration() }));
    m_quarantineStore.save(crash.content);
}

void PeerMesh::broadcastAnswered(ContentDigest content)
{
    m_log.write("crashes-cleared", LogLine("crashes-cleared").add("content", content.value()),
                steadyNow());
    mesh::Frame frame;
    frame.mutable_request_answered()->set_content_digest(content.value());
    broadcast(frame);
    m_quarantineStore.remove(content);
}

void PeerMesh::confirmConfiguration(const ConfigurationConfirmation &confirmation)
{
    for (const auto &[key, session] : m_sessions) {
        if (session->peerZone() == m_options.ownHost.zone)
            session->send(
                    encodeConfirmation(confirmation, session->clockEcho(), suspendAwareNow()));
    }
}

void PeerMesh::askForConfirmation()
{
    // One peer of the own zone and one of another zone: a failure of the store's paths often
    // concerns a zone as a whole.
    std::vector<PeerLink *> ownZone;
    std::vector<PeerLink *> otherZones;
    for (const auto &[host, link] : m_links) {
        if (link->isUp())
            (link->host().zone == m_options.ownHost.zone ? ownZone : otherZones)
                    .push_back(link.get());
    }
    for (const auto &links : { ownZone, otherZones }) {
        if (!links.empty())
            links[m_random.uniformBelow(links.size())]->askForConfirmation();
    }
}

void PeerMesh::onConfigurationConfirmed(PeerLink &link,
                                        const ConfigurationConfirmation &confirmation)
{
    m_configurationUpdater->onPeerConfirmation(confirmation);
    if (m_options.needsProofs && link.isClockReadingOld())
        link.askForConfirmation();
    m_onStoreEra(confirmation.position.era);
    if (confirmation.version <= m_configurationUpdater->version())
        return;
    m_peerStates[link.host().host].configurationVersion = confirmation.version;
    requestNewerConfiguration();
}

void PeerMesh::onCrashReported(const HostId &host, const AgedCrash &crash)
{
    const absl::Time now = steadyNow();
    m_crashHistory.add(crash, now);
    m_log.write(
            "server-crashed",
            LogLine("server-crashed")
                    .add("host", host.value())
                    .add("content", crash.crash.content.value())
                    .add("process", crash.crash.process.value())
                    .add("age_ms", crash.age)
                    .add("quarantine_ms", m_crashHistory.quarantineLeft(crash.crash.content, now)),
            now);
}

void PeerMesh::sendGateReport(PeerSession &session)
{
    session.send(makeGateState(makeGateReport()));
    m_reportSchedule.onReported(session.reportRecipient(), m_sessions.size(), steadyNow());
}

mesh::Frame PeerMesh::makeHello(const HostId &host)
{
    mesh::Frame frame;
    mesh::Hello &hello = *frame.mutable_hello();
    *hello.mutable_self() = encodeHost(m_options.ownHost);
    hello.set_configuration_version(m_configurationUpdater->version().value());
    hello.set_sent_us(static_cast<std::uint64_t>(absl::ToInt64Microseconds(suspendAwareNow())));
    m_drainReplicator.fillHello(host, hello);
    hello.set_takes_quota_asks(true);
    hello.set_announced_body_bytes(m_bodyReceiver.threshold().value_or(0));
    hello.set_keeps_quota_reserve(true);
    if (const auto it = m_limitedServers.find(host); it != m_limitedServers.end())
        *hello.mutable_limited_server() = it->second;
    return frame;
}

void PeerMesh::onLinkOpened(PeerLink &link)
{
    m_departedHosts.erase(link.host().host);
    if (m_endedHosts.erase(link.host().host) > 0)
        m_quotaExchange->addHost(link.host().host, link.host().zone);
    wakeHost(link.host());
    m_log.write("link-opened", LogLine("link-opened").add("host", link.host().host.value()),
                steadyNow());
}

void PeerMesh::onAddressTaken(PeerLink &link, const PeerHost &owner)
{
    // Deferred, because the link that removeHost() destroys is the caller.
    asio::post(m_loop, [this, host = link.host().host, owner] {
        removeHost(host, "address-taken");
        addHost(owner);
    });
}

void PeerMesh::onLinkLost(PeerLink &link, std::string_view cause)
{
    m_metrics.recordLostLink(cause);
    m_selector.markUnreachable(link.host().host);
    m_quotaExchange->setReachable(link.host().host, false);
    m_peerStates.erase(link.host().host);
    m_log.write("link-lost",
                LogLine("link-lost").add("host", link.host().host.value()).add("cause", cause),
                steadyNow());
}

void PeerMesh::recordLimitedServer(const HostId &host, const GateReport &report)
{
    if (report.server.isEmpty()) // The node does not know its backend server yet.
        return;
    if (!report.requestLimit) {
        m_limitedServers.erase(host);
        return;
    }
    mesh::LimitedServer &entry = m_limitedServers[host];
    entry.set_server(report.server.value());
    entry.set_requests_per_second(report.requestLimit->perSecond);
}

void PeerMesh::recallRequestLimit(const mesh::Hello &hello)
{
    if (hello.has_limited_server())
        m_gate.recallRequestLimit(BackendServerId(hello.limited_server().server()),
                                  hello.limited_server().requests_per_second());
}

void PeerMesh::onGateReport(PeerLink &link, const GateReport &report)
{
    recordLimitedServer(link.host().host, report);
    m_selector.onGateReport(link.host().host, report, steadyNow());
}

void PeerMesh::onDemandReport(PeerLink &link, const GateDemand &demand)
{
    m_selector.onDemandReport(link.host().host, demand, steadyNow());
}

void PeerMesh::onLoadReport(PeerLink &link, const GateLoadReport &report)
{
    m_selector.onLoadReport(link.host().host, report, steadyNow());
}

NodeState PeerMesh::nodeState() const
{
    return { m_configurationUpdater->version(), m_isShuttingDown,
             m_configurationUpdater->isStoreFailing(), m_options.linkMbps, m_isDeparting };
}

void PeerMesh::requestConfiguration(PeerLink &link, Version aboveVersion)
{
    m_lastConfigurationRequestTime = steadyNow();
    mesh::Frame frame;
    frame.mutable_configuration_wanted()->set_above_version(aboveVersion.value());
    link.send(frame);
}

void PeerMesh::requestNewerConfiguration()
{
    const absl::Time now = steadyNow();
    PeerLink *bestLink = nullptr;
    double bestScore = 0;
    bool isBehind = false;
    for (const auto &[host, state] : m_peerStates) {
        const auto link = m_links.find(host);
        if (link == m_links.end() || !link->second->isUp()
            || state.configurationVersion <= m_configurationUpdater->version()
            || !state.statesAccounts)
            continue;
        isBehind = true;
        // Traffic between zones is expensive, and a node of the same zone usually has the version
        // soon.
        const bool isSameZone = link->second->host().zone == m_options.ownHost.zone;
        if (!isSameZone && m_configurationUpdater->version() != Version()
            && now - std::min(m_behindSince, now) < RemoteZoneDelay)
            continue;
        // Prefers fast links. The random factor spreads requests and avoids asking a busy node
        // again.
        const double score =
                (isSameZone ? 1 : 0.1) * (1 + state.linkMbps) * (0.05 + m_random.uniformReal());
        if (bestLink == nullptr || score > bestScore) {
            bestLink = link->second.get();
            bestScore = score;
        }
    }
    m_behindSince = isBehind ? std::min(m_behindSince, now) : absl::InfiniteFuture();
    if (bestLink != nullptr && now - m_lastConfigurationRequestTime >= ConfigurationRequestTimeout)
        requestConfiguration(*bestLink, m_configurationUpdater->version());
}

void PeerMesh::sendConfigurationChanges(PeerSession &session, Version aboveVersion)
{
    if (aboveVersion >= m_configurationUpdater->version())
        return;
    const mesh::Frame frame =
            encodeConfigurationChanges(m_configurationUpdater->changesSince(aboveVersion));
    const std::size_t size = frame.ByteSizeLong();
    const absl::Time now = steadyNow();
    if (size > SmallChangesLimitBytes && m_options.linkMbps > 0) {
        // One large transfer at a time. A node whose request is ignored soon asks another node.
        if (now < m_largeTransferEnd)
            return;
        m_largeTransferEnd = now
                             + absl::Seconds(static_cast<double>(size) * 8
                                             / (m_options.linkMbps * LargeChangesLinkShare * 1e6));
    }
    session.send(frame);
}

void PeerMesh::updateWatchRole()
{
    std::vector<WatcherCandidate> peers;
    for (const auto &[host, state] : m_peerStates) {
        const auto link = m_links.find(host);
        if (link != m_links.end() && link->second->isUp() && !state.isShuttingDown)
            peers.push_back(
                    { host, link->second->host().zone, state.isStoreFailing, state.linkMbps });
    }
    m_configurationUpdater->setRole(
            watchRole({ m_options.ownHost.host, m_options.ownHost.zone,
                        m_configurationUpdater->isStoreFailing(), m_options.linkMbps },
                      peers));
}

void PeerMesh::onLinkFrame(PeerLink &link, const mesh::Frame &frame)
{
    switch (frame.content_case()) {
    case mesh::Frame::kHello:
        m_drainReplicator.onHello(link.host().host, frame.hello());
        recallRequestLimit(frame.hello());
        m_quotaExchange->setKeepsReserve(link.host().host, frame.hello().keeps_quota_reserve());
        m_quotaExchange->setReachable(link.host().host, frame.hello().takes_quota_asks());
        break;
    case mesh::Frame::kGateState:
        m_peerStates[link.host().host] = decodeNodeState(frame.gate_state());
        if (frame.gate_state().is_leaving())
            m_quotaExchange->setReachable(link.host().host, false);
        if (frame.gate_state().is_departing())
            m_departedHosts.insert(link.host().host);
        onRolloutStates(link.host().host, frame.gate_state().rollouts());
        if (Version(frame.gate_state().configuration_version()) > m_configurationUpdater->version())
            requestNewerConfiguration();
        break;
    case mesh::Frame::kConfigurationChanges:
        if (!m_configurationUpdater->applyChanges(
                    decodeConfigurationChanges(frame.configuration_changes()),
                    link.host().host.value()))
            requestConfiguration(link, Version());
        break;
    case mesh::Frame::kServerCrash:
        onCrashReported(link.host().host, decodeCrash(frame.server_crash()));
        break;
    case mesh::Frame::kRequestAnswered:
        m_crashHistory.clear(ContentDigest(frame.request_answered().content_digest()));
        break;
    case mesh::Frame::kRolloutStates:
        onRolloutStates(link.host().host, frame.rollout_states().states());
        break;
    case mesh::Frame::kQuotaGrant:
        m_quotaExchange->onGrant(frame.quota_grant());
        break;
    case mesh::Frame::kDrainNotice:
        link.send(m_drainReplicator.onNotice(link.host().host, frame.drain_notice()));
        break;
    default:
        break;
    }
}

void PeerMesh::onSessionFrame(PeerSession &session, const mesh::Frame &frame)
{
    switch (frame.content_case()) {
    case mesh::Frame::kHello: {
        const PeerHost peer = decodeHost(frame.hello().self());
        session.setPeer(peer.host, peer.zone);
        m_drainReplicator.onHello(peer.host, frame.hello());
        recallRequestLimit(frame.hello());
        session.send(makeHello(peer.host));
        for (const mesh::Frame &notice : m_drainReplicator.notices())
            session.send(notice);
        for (const AgedCrash &crash : m_crashHistory.list(steadyNow()))
            session.send(encodeCrash(crash));
        sendGateReport(session);
        addHost(peer);
        const auto link = m_links.find(peer.host);
        if (link != m_links.end())
            link->second->connectNow();
        break;
    }
    case mesh::Frame::kConfirmationWanted:
        if (const auto proof = m_configurationUpdater->latestProof())
            session.send(encodeConfirmation(*proof, session.clockEcho(), suspendAwareNow()));
        break;
    case mesh::Frame::kConfigurationWanted:
        sendConfigurationChanges(session, Version(frame.configuration_wanted().above_version()));
        break;
    case mesh::Frame::kRolloutEvidence:
        m_rollouts->onPeerEvidence(session.peer(), frame.rollout_evidence());
        break;
    case mesh::Frame::kQuotaAsk:
        session.send(m_quotaExchange->onAsk(session.peer(), frame.quota_ask()));
        break;
    case mesh::Frame::kDrainNoted:
        m_drainReplicator.onNoted(session.peer(), frame.drain_noted());
        break;
    default:
        break;
    }
}

void PeerMesh::onSessionClosed(PeerSession &session)
{
    m_sessions.erase(&session);
}

void PeerMesh::beginShutdown(bool deletesHostRow)
{
    m_isShuttingDown = true;
    m_isDeparting = deletesHostRow;
    m_quotaExchange->retire();
    m_registrationTimer.cancel();
    m_hostRowTimer.cancel();
    reportGate(ReportAudience::All);
    if (deletesHostRow)
        deleteHostRow(m_options.ownHost.host);
}

void PeerMesh::deleteHostRow(const HostId &host)
{
    m_log.write("host-row-removed", LogLine("host-row-removed").add("host", host.value()),
                steadyNow());
    StoreRequest request;
    request.kind = StoreRequest::Kind::Remove;
    request.table = HostTable;
    request.key = host.value();
    // Not retried: a stale row only costs other nodes failed connections until they remove the
    // host.
    m_store.call(std::move(request), [](const StoreAnswer &) {});
}

} // namespace godwitlift
