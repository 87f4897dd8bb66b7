/// \file
/// Membership, reports and drains among nodes.
#include "peers/PeerMesh.h"

#include "godwitlift/traffic/WatcherElection.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace godwitlift {

namespace {

/// Tables of the store that hold the hosts, and the last drained backend server of each host.
constexpr const char *HostTable = "gl-hosts";
constexpr const char *DrainTable = "gl-drains";
/// Pause between two reports of a busy gate: at least the first, and longer the more peers are
/// told, so that reports take a bounded part of a thin link (a report to one peer takes about
/// 130 bytes with its headers; 4 ms for each are 33 KB a second).
constexpr absl::Duration BusyReportPause = absl::Milliseconds(100);
constexpr absl::Duration ReportPausePerPeer = absl::Milliseconds(4);
/// Longest time without a report. Peers take four missing ones for a dead connection.
constexpr absl::Duration LongestReportPause = absl::Milliseconds(500);
/// Change in used slots, as a share of all slots, or in the share of failures that is worth a
/// report of its own.
constexpr double WorthwhileChange = 0.1;
/// Time without a frame after which the opener of a session is taken for gone: it pings every 0.6
/// s.
constexpr absl::Duration SessionSilenceLimit = absl::Seconds(3);
/// Pause after the first failed registration, and its bound as it doubles.
constexpr absl::Duration FirstRegistrationPause = absl::Milliseconds(200);
constexpr absl::Duration LongestRegistrationPause = absl::Seconds(1);
/// Time out of reach after which a host is taken for gone: far longer than a restart or a
/// partition that is worth waiting for.
constexpr absl::Duration ForgetAfter = absl::Seconds(60);

/// Time after which an unanswered request for a configuration is sent to another node.
constexpr absl::Duration ConfigurationPatience = absl::Milliseconds(150);
/// Time that nodes of the own zone have to bring a version that another zone has: a few rounds in
/// which each node that has it passes it on.
constexpr absl::Duration FarPatience = absl::Milliseconds(600);
/// Changes up to this size in bytes are passed on to whoever asks; larger ones one at a time.
constexpr std::size_t SmallChanges = 16'384;
/// Part of a link's bandwidth that large changes may take.
constexpr double ServingShare = 0.7;

std::string encodeRow(const PeerHost &host)
{
    return nlohmann::json{
        { "host", host.host.value() },
        { "address", host.address.value() },
        { "zone", host.zone.value() }
    }.dump();
}

/// None for a row that another writer left or that cannot be read.
std::optional<PeerHost> decodeRow(const std::string &text)
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

} // namespace

PeerMesh::PeerMesh(asio::io_context &loop, LinkScheduler &link, Options options, StoreClient &store,
                   LocalServer &server, FinishTimeSelector &selector, DecisionLog &log,
                   NodeMetrics &metrics, RandomSource &random)
    : m_loop(loop)
    , m_link(link)
    , m_options(std::move(options))
    , m_store(store)
    , m_server(server)
    , m_selector(selector)
    , m_log(log)
    , m_metrics(metrics)
    , m_random(random)
    , m_acceptor(loop.get_executor())
    , m_registration(loop.get_executor())
    , m_ownDoor(server, 0)
    , m_registrationPause(FirstRegistrationPause)
{
    m_selector.addHost(m_options.self.host, m_options.self.zone);
}

PeerMesh::~PeerMesh()
{
    for (const auto &[key, session] : m_sessions)
        session->close();
}

bool PeerMesh::listen(std::string &error)
{
    const auto endpoint = parseEndpoint(m_options.peers.value());
    boost::system::error_code failed;
    m_acceptor.open(endpoint->protocol(), failed);
    if (!failed)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), failed);
    if (!failed)
        m_acceptor.bind(*endpoint, failed);
    if (!failed)
        m_acceptor.listen(asio::socket_base::max_listen_connections, failed);
    if (failed) {
        error = failed.message();
        return false;
    }
    accept();
    return true;
}

void PeerMesh::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, TcpSocket socket) {
        if (error == asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        if (!error) {
            auto session = std::make_shared<PeerSession>(m_loop, m_link, std::move(socket),
                                                         m_server, m_nextSource++,
                                                         static_cast<PeerSessionObserver &>(*this));
            m_sessions[session.get()] = session;
            session->start();
        }
        accept();
    });
}

void PeerMesh::start()
{
    listHosts({});
}

void PeerMesh::listHosts(const std::string &from)
{
    StoreRequest request;
    request.kind = StoreRequest::Kind::List;
    request.table = HostTable;
    request.from = from;
    m_store.call(std::move(request), [this](const StoreAnswer &answer) { listed(answer); });
}

void PeerMesh::listed(const StoreAnswer &answer)
{
    if (answer.outcome != StoreOutcome::Done) {
        retryRegistration();
        return;
    }
    bool isOwnRowThere = false;
    for (const StoreRow &row : answer.rows) {
        const auto host = decodeRow(row.value);
        if (!host || host->host.value() != row.key) {
            m_metrics.undecodable("host-row");
            m_log.write("host-row-unreadable", LogLine("host-row-unreadable").add("key", row.key),
                        steadyNow());
            continue;
        }
        if (host->host == m_options.self.host)
            isOwnRowThere = *host == m_options.self;
        else if (host->address == m_options.self.address)
            removeRow(host->host); // This host has taken the place of that one.
        else
            learn(*host);
    }
    if (answer.hasMore && !answer.rows.empty()) {
        // The smallest key after the last one read.
        listHosts(answer.rows.back().key + '!');
        return;
    }
    if (isOwnRowThere || m_isRegistered) {
        m_isRegistered = true;
        return;
    }
    registerSelf();
}

void PeerMesh::registerSelf()
{
    StoreRequest request;
    request.kind = StoreRequest::Kind::Put;
    request.table = HostTable;
    request.key = m_options.self.host.value();
    request.value = encodeRow(m_options.self);
    m_store.call(std::move(request), [this](const StoreAnswer &answer) {
        if (answer.outcome != StoreOutcome::Done) {
            retryRegistration();
            return;
        }
        m_isRegistered = true;
        m_log.write("registered", LogLine("registered").add("revision", answer.revision),
                    steadyNow());
        listHosts({});
    });
}

void PeerMesh::retryRegistration()
{
    if (m_isLeaving)
        return;
    expireAfter(m_registration, m_registrationPause * (0.5 + 0.5 * m_random.unit()));
    m_registrationPause = std::min(m_registrationPause * 2, LongestRegistrationPause);
    m_registration.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            listHosts({});
    });
}

void PeerMesh::learn(const PeerHost &host)
{
    if (host.host == m_options.self.host || host.host.isEmpty())
        return;
    m_selector.addHost(host.host, host.zone);
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
    link = std::make_unique<PeerLink>(m_loop, m_link, host, static_cast<PeerLinkObserver &>(*this));
    link->start();
}

void PeerMesh::forget(const HostId &host, std::string_view cause)
{
    m_log.write("host-forgotten",
                LogLine("host-forgotten").add("host", host.value()).add("cause", cause),
                steadyNow());
    m_selector.removeHost(host);
    m_links.erase(host);
}

AttemptGateway *PeerMesh::gatewayTo(const HostId &host)
{
    if (host == m_options.self.host)
        return &m_ownDoor;
    const auto it = m_links.find(host);
    return it == m_links.end() ? nullptr : it->second.get();
}

std::size_t PeerMesh::linksUp() const
{
    return static_cast<std::size_t>(
            std::count_if(m_links.begin(), m_links.end(),
                          [](const auto &entry) { return entry.second->isUp(); }));
}

bool PeerMesh::hasUnsent() const
{
    return std::any_of(m_sessions.begin(), m_sessions.end(),
                       [](const auto &entry) { return entry.second->hasUnsent(); });
}

void PeerMesh::tick()
{
    const absl::Time now = steadyNow();
    std::vector<HostId> gone;
    for (const auto &[host, link] : m_links) {
        link->tick(now);
        if (link->downFor(now) > ForgetAfter)
            gone.push_back(host);
    }
    for (const HostId &host : gone)
        forget(host, "out-of-reach");
    closeSilentSessions(now);
    if (now - m_lastBroadcast >= LongestReportPause)
        broadcastGate();
    else
        gateChanged(false);
    settleDrains([&](const PendingDrain &drain) { return now - drain.since > DrainPatience; });
    reviewWatching();
    catchUp();
}

void PeerMesh::closeSilentSessions(absl::Time now)
{
    std::vector<std::shared_ptr<PeerSession>> silent;
    for (const auto &[key, session] : m_sessions) {
        if (now - session->heard() > SessionSilenceLimit)
            silent.push_back(session);
    }
    for (const auto &session : silent) {
        m_log.write("session-closed",
                    LogLine("session-closed")
                            .add("host", session->peer().value())
                            .add("cause", "silent"),
                    now);
        session->close();
        m_sessions.erase(session.get());
    }
}

void PeerMesh::gateChanged(bool isUrgent)
{
    const GateReport report = ownReport();
    m_selector.onGateReport(m_options.self.host, report, steadyNow());
    const double change = std::abs(static_cast<double>(report.running + report.queued)
                                   - m_lastReport.running - m_lastReport.queued);
    const bool isWorthwhile =
            report.acceptsRequests != m_lastReport.acceptsRequests
            || change >= WorthwhileChange * std::max(report.slots, 1U)
            || std::abs(report.failureShare - m_lastReport.failureShare) >= WorthwhileChange;
    const absl::Duration pause =
            std::max(BusyReportPause, ReportPausePerPeer * static_cast<double>(m_sessions.size()));
    if (isUrgent || (isWorthwhile && steadyNow() - m_lastBroadcast >= pause))
        broadcastGate();
}

GateReport PeerMesh::ownReport() const
{
    GateReport report = m_server.report();
    report.linkMbps = m_options.linkMbps;
    report.linkBacklog = m_link.backlogTime();
    return report;
}

void PeerMesh::broadcastGate()
{
    m_lastReport = ownReport();
    m_selector.onGateReport(m_options.self.host, m_lastReport, steadyNow());
    m_lastBroadcast = steadyNow();
    const mesh::Frame frame = encodeReport(m_lastReport, nodeState());
    for (const auto &[key, session] : m_sessions)
        session->send(frame);
}

void PeerMesh::sendGate(PeerSession &session)
{
    session.send(encodeReport(ownReport(), nodeState()));
}

mesh::Frame PeerMesh::helloFor(const HostId &host)
{
    mesh::Frame frame;
    mesh::Hello &hello = *frame.mutable_hello();
    *hello.mutable_self() = encodeHost(m_options.self);
    hello.set_configuration_version(m_keeper->version().value());
    const auto drained = m_drainMemory.find(host);
    if (drained != m_drainMemory.end()) {
        hello.set_drained_server(drained->second.server.value());
        hello.set_drained_started_ms(drained->second.startedUnixMs);
    }
    return frame;
}

void PeerMesh::helloReceived(const mesh::Hello &hello)
{
    if (!hello.drained_server().empty())
        m_server.recallDrained(BackendServerId(hello.drained_server()), hello.drained_started_ms());
}

void PeerMesh::linkOpened(PeerLink &link)
{
    m_log.write("link-opened", LogLine("link-opened").add("host", link.host().host.value()),
                steadyNow());
}

void PeerMesh::addressTaken(PeerLink &link, const PeerHost &owner)
{
    // The link is still in use by its caller.
    asio::post(m_loop, [this, host = link.host().host, owner] {
        forget(host, "address-taken");
        learn(owner);
    });
}

void PeerMesh::linkLost(PeerLink &link, std::string_view cause)
{
    m_metrics.linkLost(cause);
    m_selector.markUnreachable(link.host().host);
    m_peerStates.erase(link.host().host);
    m_log.write("link-lost",
                LogLine("link-lost").add("host", link.host().host.value()).add("cause", cause),
                steadyNow());
}

void PeerMesh::gateReported(PeerLink &link, const GateReport &report)
{
    m_selector.onGateReport(link.host().host, report, steadyNow());
}

void PeerMesh::loadReported(PeerLink &link, std::uint32_t running, std::uint32_t queued,
                            absl::Duration linkBacklog)
{
    m_selector.onLoadReport(link.host().host, running, queued, linkBacklog);
}

NodeState PeerMesh::nodeState() const
{
    return { m_keeper->version(), m_isLeaving, m_keeper->isStoreFailing(), m_options.linkMbps };
}

void PeerMesh::askForConfiguration(PeerLink &link, Version above)
{
    m_askedForConfiguration = steadyNow();
    mesh::Frame frame;
    frame.mutable_configuration_wanted()->set_above_version(above.value());
    link.send(frame);
}

void PeerMesh::catchUp()
{
    const absl::Time now = steadyNow();
    PeerLink *best = nullptr;
    double bestScore = 0;
    bool isBehind = false;
    for (const auto &[host, state] : m_peerStates) {
        const auto link = m_links.find(host);
        if (link == m_links.end() || !link->second->isUp() || state.version <= m_keeper->version())
            continue;
        isBehind = true;
        // Links between zones are dear; nodes of the own zone bring a version soon after.
        const bool isNear = link->second->host().zone == m_options.self.zone;
        if (!isNear && m_keeper->version() != Version()
            && now - std::min(m_behindSince, now) < FarPatience)
            continue;
        // Wide links first, by chance among equals: a node that was asked in vain was busy.
        const double score = (isNear ? 1 : 0.1) * (1 + state.linkMbps) * (0.05 + m_random.unit());
        if (best == nullptr || score > bestScore) {
            best = link->second.get();
            bestScore = score;
        }
    }
    m_behindSince = isBehind ? std::min(m_behindSince, now) : absl::InfiniteFuture();
    if (best != nullptr && now - m_askedForConfiguration >= ConfigurationPatience)
        askForConfiguration(*best, m_keeper->version());
}

void PeerMesh::serveConfiguration(PeerSession &session, Version above)
{
    if (above >= m_keeper->version())
        return;
    const mesh::Frame frame = encodeChanges(m_keeper->changesSince(above));
    const std::size_t size = frame.ByteSizeLong();
    const absl::Time now = steadyNow();
    if (size > SmallChanges && m_options.linkMbps > 0) {
        // A large answer takes its time on the link. Who asks meanwhile asks another node soon.
        if (now < m_servedLarge)
            return;
        m_servedLarge = now
                        + absl::Seconds(static_cast<double>(size) * 8
                                        / (m_options.linkMbps * ServingShare * 1e6));
    }
    session.send(frame);
}

void PeerMesh::reviewWatching()
{
    std::vector<WatcherCandidate> peers;
    for (const auto &[host, state] : m_peerStates) {
        const auto link = m_links.find(host);
        if (link != m_links.end() && link->second->isUp() && !state.isLeaving
            && link->second->host().zone == m_options.self.zone)
            peers.push_back({ host, state.isStoreFailing, state.linkMbps });
    }
    m_keeper->setWatching(isWatcher(
            { m_options.self.host, m_keeper->isStoreFailing(), m_options.linkMbps }, peers));
}

void PeerMesh::linkFrame(PeerLink &link, const mesh::Frame &frame)
{
    switch (frame.content_case()) {
    case mesh::Frame::kHello:
        helloReceived(frame.hello());
        break;
    case mesh::Frame::kGateState:
        m_peerStates[link.host().host] = decodeNodeState(frame.gate_state());
        if (Version(frame.gate_state().configuration_version()) > m_keeper->version())
            catchUp();
        break;
    case mesh::Frame::kConfigurationChanges:
        if (!m_keeper->applyChanges(decodeChanges(frame.configuration_changes()),
                                    link.host().host.value()))
            askForConfiguration(link, Version());
        break;
    case mesh::Frame::kDrainNotice:
        m_drainMemory[link.host().host] = { BackendServerId(frame.drain_notice().server()),
                                            frame.drain_notice().started_ms() };
        {
            mesh::Frame noted;
            noted.mutable_drain_noted()->set_server(frame.drain_notice().server());
            link.send(noted);
        }
        break;
    default:
        break;
    }
}

void PeerMesh::sessionFrame(PeerSession &session, const mesh::Frame &frame)
{
    switch (frame.content_case()) {
    case mesh::Frame::kHello: {
        const PeerHost peer = decodeHost(frame.hello().self());
        session.setPeer(peer.host);
        helloReceived(frame.hello());
        session.send(helloFor(peer.host));
        sendGate(session);
        learn(peer);
        const auto link = m_links.find(peer.host);
        if (link != m_links.end())
            link->second->wake();
        break;
    }
    case mesh::Frame::kConfigurationWanted:
        serveConfiguration(session, Version(frame.configuration_wanted().above_version()));
        break;
    case mesh::Frame::kDrainNoted:
        drainWitnessed(frame.drain_noted().server());
        break;
    default:
        break;
    }
}

void PeerMesh::sessionClosed(PeerSession &session)
{
    m_sessions.erase(&session);
}

void PeerMesh::rememberDrain(const DrainRecord &record, std::function<void()> done)
{
    m_pendingDrains.push_back({ record, std::move(done), 0, steadyNow() });
    mesh::Frame frame;
    frame.mutable_drain_notice()->set_server(record.server.value());
    frame.mutable_drain_notice()->set_started_ms(record.startedUnixMs);
    for (const auto &[key, session] : m_sessions)
        session->send(frame);
    StoreRequest request;
    request.kind = StoreRequest::Kind::Put;
    request.table = DrainTable;
    request.key = m_options.self.host.value();
    request.value = nlohmann::json{
        { "server", record.server.value() }, { "started_ms", record.startedUnixMs }
    }.dump();
    m_store.call(std::move(request), [this, server = record.server](const StoreAnswer &answer) {
        if (answer.outcome == StoreOutcome::Done)
            settleDrains([&](const PendingDrain &drain) { return drain.record.server == server; });
    });
}

void PeerMesh::drainWitnessed(const std::string &server)
{
    for (PendingDrain &drain : m_pendingDrains)
        drain.witnesses += drain.record.server.value() == server ? 1 : 0;
    settleDrains([](const PendingDrain &drain) { return drain.witnesses >= DrainWitnesses; });
}

void PeerMesh::settleDrains(const std::function<bool(const PendingDrain &)> &isSettled)
{
    std::vector<std::function<void()>> settled;
    std::erase_if(m_pendingDrains, [&](PendingDrain &drain) {
        if (!isSettled(drain))
            return false;
        settled.push_back(std::move(drain.done));
        return true;
    });
    for (const auto &done : settled)
        done();
}

void PeerMesh::beginLeaving(bool isForGood)
{
    m_isLeaving = true;
    m_registration.cancel();
    broadcastGate();
    if (isForGood)
        removeRow(m_options.self.host);
}

void PeerMesh::removeRow(const HostId &host)
{
    m_log.write("host-row-removed", LogLine("host-row-removed").add("host", host.value()),
                steadyNow());
    StoreRequest request;
    request.kind = StoreRequest::Kind::Remove;
    request.table = HostTable;
    request.key = host.value();
    // A row that stays costs later readers one failed connection; it is not tried again.
    m_store.call(std::move(request), [](const StoreAnswer &) {});
}

} // namespace godwitlift
