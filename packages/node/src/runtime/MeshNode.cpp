/// \file
/// Assembles a node; runs its timers, settings reload and graceful shutdown.
#include "godwitlift/node/MeshNode.h"

#include "access/AccessGuard.h"
#include "ingress/IngressService.h"
#include "peers/PeerMesh.h"
#include "rollout/RolloutCoordinator.h"
#include "runtime/AnnouncementService.h"
#include "runtime/ConfigurationUpdater.h"

#include "godwitlift/input/ReclaimSchedule.h"
#include "godwitlift/traffic/ShutdownSchedule.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <google/protobuf/stubs/logging.h>

#include <fstream>
#include <iterator>
#include <limits>
#include <malloc.h>
#include <optional>
#include <random>
#include <unistd.h>
#include <utility>

namespace godwitlift {

namespace {

/// Address that the backend server's calls come from. Unspecified on a loopback address, which the
/// clients of the host share with the backend server.
asio::ip::address callSourceOf(const MeshSettings &settings)
{
    const auto endpoint = parseEndpoint(settings.backendServerAddress.value());
    if (!endpoint || endpoint->address().is_loopback())
        return {};
    return endpoint->address();
}

/// Interval of periodic work that needs no exact timing.
constexpr absl::Duration TickInterval = absl::Milliseconds(100);
/// Interval between checks of the gate's queue while requests are queued.
constexpr absl::Duration QueueCheckInterval = absl::Milliseconds(20);
/// Interval between checks for timed-out client connections and idle backend connections.
constexpr absl::Duration ConnectionCheckInterval = absl::Seconds(1);
/// Interval between checks of the settings file for changes; edits by operators are not urgent.
constexpr absl::Duration SettingsCheckInterval = absl::Seconds(5);
/// Descriptors reserved for files, peer links, the store and the backend server.
constexpr std::size_t ReservedDescriptors = 600;
/// Largest body at the listeners of the platform and of operators; an announcement has a few
/// hundred bytes.
constexpr std::size_t MaxOperationBodyBytes = std::size_t(64) * 1024;
/// Most connections at each of these listeners.
constexpr std::size_t MaxOperationConnections = 64;
/// Blocks from this size on are returned to the system when they are freed, rather than kept for
/// later ones that they may not fit.
constexpr int ReturnedBlockBytes = 256 * 1024;

/// Answers the platform's readiness checks.
class ReadinessService final : public HttpHandler
{
public:
    explicit ReadinessService(const PlatformProtocol &protocol)
        : m_protocol(protocol)
    {}
    void setReady(bool isReady) { m_isReady = isReady; }
    void handle(const std::shared_ptr<Exchange> &exchange) override
    {
        const RequestHead &head = exchange->request().head;
        if (!m_protocol.isReadinessCheck(head.method, head.target))
            exchange->respond(404, reasonPhrase(404), {}, {});
        else if (m_isReady)
            exchange->respond(200, reasonPhrase(200), {}, {});
        else
            exchange->respond(503, reasonPhrase(503), {}, {});
    }
    void onRequestRejected(unsigned) override {}

private:
    const PlatformProtocol &m_protocol;
    bool m_isReady = false;
};

/// Serves the metrics in the Prometheus text format.
class MetricsService final : public HttpHandler
{
public:
    MetricsService(NodeMetrics &metrics, std::function<void()> refresh)
        : m_metrics(metrics)
        , m_refresh(std::move(refresh))
    {}
    void handle(const std::shared_ptr<Exchange> &exchange) override
    {
        m_refresh();
        exchange->respond(200, reasonPhrase(200), "Content-Type: text/plain; version=0.0.4\r\n",
                          m_metrics.toPrometheusText());
    }
    void onRequestRejected(unsigned) override {}

private:
    NodeMetrics &m_metrics;
    std::function<void()> m_refresh;
};

std::uint64_t drawSeed()
{
    std::random_device device;
    return (std::uint64_t(device()) << 32U) | device();
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    return std::string{ std::istreambuf_iterator<char>(file), {} };
}

class Node final : public MeshNode, private GateListener
{
public:
    Node(MeshSettings settings, const PlatformProtocol &protocol, const ConfigurationLease &lease,
         std::string settingsFile)
        : m_settings(std::move(settings))
        , m_protocol(protocol)
        , m_settingsFile(std::move(settingsFile))
        , m_loop(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE)
        , m_random(drawSeed())
        , m_log(STDOUT_FILENO, m_settings.host.value())
        , m_selector(m_random)
        , m_store(m_loop, *parseEndpoint(m_settings.storeAddress.value()), protocol,
                  [this](const StoreRequest &request, const StoreAnswer &answer) {
                      m_metrics.recordStoreCall(name(request.kind), name(answer.outcome));
                      onStoreEra(answer.era);
                  })
        , m_gate(m_loop,
                 { m_settings.service, *parseEndpoint(m_settings.backendServerAddress.value()),
                   protocol, m_crashHistory },
                 *this)
        , m_linkScheduler(m_loop, m_settings.linkMbps)
        , m_inputKeeper(m_loop, InputBudget::limitOf(m_settings.memoryBytes, 0),
                        [this](YieldOrder order) { onInputYielded(order); })
        , m_mesh(m_loop, m_linkScheduler, m_inputKeeper,
                 { { m_settings.host, m_settings.advertisedPeerAddress, m_settings.zone },
                   m_settings.peerAddress,
                   m_settings.linkMbps,
                   m_settings.revocation.isStrict,
                   m_settings.stopTimeout,
                   std::max<std::size_t>(m_settings.descriptorLimit / 8, 32) },
                 m_store, m_gate, m_selector, m_crashHistory, m_log, m_metrics, m_random)
        , m_rolloutTraffic(m_settings.rollout.exposureShare, m_random)
        , m_rollouts({ m_settings.host, m_settings.service, m_settings.rollout }, m_store, protocol,
                     m_gate, m_selector, m_rolloutTraffic, m_mesh, m_log, m_metrics)
        , m_quotaExchange(m_loop, m_settings.host, m_settings.zone, m_settings.quota,
                          std::max<std::uint64_t>(m_random.next(), 1), m_log, m_metrics,
                          [this](const HostId &host, const mesh::Frame &frame) {
                              m_mesh.sendTo(host, frame);
                          })
        , m_ingress(m_loop,
                    { m_settings.host, m_settings.service, protocol.headerNames(), m_crashHistory,
                      m_settings.retryRule, callSourceOf(m_settings), m_rolloutTraffic },
                    m_selector, m_mesh, m_log, m_metrics, m_random)
        , m_configurationUpdater(
                  m_loop, m_store, protocol, lease, m_random, m_log, m_metrics,
                  [this](auto catalogue) { onConfigurationApplied(std::move(catalogue)); },
                  [this](const auto &confirmation) { m_mesh.confirmConfiguration(confirmation); })
        , m_accessGuard(m_configurationUpdater, m_mesh, m_settings.revocation, m_log)
        , m_announcementService(protocol, m_settings.service, m_settings.backendServerAddress,
                                m_gate, m_mesh.drainReplicator(), m_log, m_metrics)
        , m_readinessService(protocol)
        , m_metricsService(m_metrics, [this] { refreshGauges(); })
        , m_clientServer(m_loop, m_linkScheduler, m_inputKeeper, m_ingress)
        , m_announcementServer(m_loop, m_linkScheduler, m_inputKeeper, m_announcementService)
        , m_readinessServer(m_loop, m_linkScheduler, m_inputKeeper, m_readinessService)
        , m_metricsServer(m_loop, m_linkScheduler, m_inputKeeper, m_metricsService)
        , m_signals(m_loop, SIGTERM, SIGINT, SIGHUP)
        , m_tickTimer(m_loop.get_executor())
        , m_queueCheckTimer(m_loop.get_executor())
        , m_finalAnswerTimer(m_loop.get_executor())
        , m_exitTimer(m_loop.get_executor())
    {
        m_inputKeeper.setMemory(m_settings.memoryBytes);
        m_mesh.setConfigurationUpdater(m_configurationUpdater);
        m_mesh.setRolloutCoordinator(m_rollouts);
        m_configurationUpdater.setRowCallback(
                [this](const StoreRow &row) { m_rollouts.onRow(row); });
        m_ingress.setKnowledgeCheck([this] { return m_accessGuard.isCurrent(); });
        m_mesh.setQuotaExchange(m_quotaExchange);
        m_ingress.setQuotaExchange(m_quotaExchange);
        m_ingress.setTrialClaims(m_mesh.trialClaims());
        m_mesh.setStoreEraCallback([this](StoreEra era) { onStoreEra(era); });
        m_selector.setOwnZone(m_settings.zone);
        m_selector.setOwnHost(m_settings.host);
        m_clientServer.setLimits(toServerLimits(ClientLimits()));
        for (HttpServer *server : { &m_announcementServer, &m_readinessServer, &m_metricsServer })
            server->setLimits(makeOperationLimits());
        m_lastSettingsText = readFile(m_settingsFile).value_or("");
    }

    Result<void> listen()
    {
        std::string error;
        const auto bind = [&](HttpServer &server, const Address &address) {
            return server.listen(*parseEndpoint(address.value()), error);
        };
        if (!bind(m_clientServer, m_settings.clientAddress))
            return makeInputError("listen.clients", error);
        if (!bind(m_announcementServer, m_settings.announcementAddress))
            return makeInputError("listen.announcements", error);
        if (!bind(m_readinessServer, m_settings.readinessAddress))
            return makeInputError("listen.readiness", error);
        if (!bind(m_metricsServer, m_settings.metricsAddress))
            return makeInputError("listen.metrics", error);
        if (!m_mesh.listen(error))
            return makeInputError("listen.peers", error);
        return {};
    }

    bool run() override
    {
        m_log.write("start",
                    LogLine("start")
                            .add("zone", m_settings.zone.value())
                            .add("service", m_settings.service.value())
                            .add("backend_server", m_settings.backendServerAddress.value())
                            .add("clients", m_settings.clientAddress.value()),
                    steadyNow());
        m_mesh.start(m_settings.isFirstStart);
        m_configurationUpdater.start(m_settings.isFirstStart);
        waitForSignal();
        scheduleTick();
        m_loop.run();
        m_log.write("stop",
                    LogLine("stop")
                            .add("unanswered", m_ingress.callCount())
                            .add("dropped_lines", m_log.droppedLineCount()),
                    steadyNow());
        return m_ingress.callCount() == 0;
    }

private:
    ServerLimits toServerLimits(const ClientLimits &limits) const
    {
        ServerLimits serverLimits;
        serverLimits.maxHeadBytes = limits.headerBytes;
        serverLimits.maxBodyBytes = limits.bodyBytes;
        serverLimits.headTimeout = limits.headerTimeout;
        serverLimits.idleTimeout = limits.idleTimeout;
        serverLimits.maxConnections = m_settings.descriptorLimit > 2 * ReservedDescriptors
                                              ? m_settings.descriptorLimit - ReservedDescriptors
                                              : m_settings.descriptorLimit / 2;
        return serverLimits;
    }

    /// For the listeners that receive calls of the platform and of operators.
    ServerLimits makeOperationLimits() const
    {
        ServerLimits limits;
        limits.maxBodyBytes = MaxOperationBodyBytes;
        limits.maxConnections = std::clamp<std::size_t>(m_settings.descriptorLimit / 16, 16,
                                                        MaxOperationConnections);
        return limits;
    }

    void onInputYielded(YieldOrder order)
    {
        const std::string_view kind = order == YieldOrder::Unfinished ? "unfinished" : "waiting";
        m_metrics.recordYield(kind);
        m_log.write("input-yielded",
                    LogLine("input-yielded")
                            .add("reason", name(Reason::InputBudget))
                            .add("kind", kind)
                            .add("held_bytes", m_inputKeeper.budget().heldBytes())
                            .add("limit_bytes", m_inputKeeper.budget().limitBytes())
                            .add("held_output_bytes", m_inputKeeper.outputBudget().heldBytes())
                            .add("output_limit_bytes", m_inputKeeper.outputBudget().limitBytes()),
                    steadyNow());
    }

    void onConfigurationApplied(std::shared_ptr<const RouteCatalogue> catalogue)
    {
        m_clientServer.setLimits(toServerLimits(catalogue->limits()));
        m_inputKeeper.budget().setLimit(
                InputBudget::limitOf(m_settings.memoryBytes, catalogue->limits().bodyBytes));
        m_gate.setCatalogue(catalogue);
        m_rollouts.setCatalogue(catalogue);
        m_quotaExchange.setCatalogue(catalogue);
        m_ingress.setCatalogue(std::move(catalogue));
        m_readinessService.setReady(!m_shutdown);
        m_mesh.reportGate(ReportAudience::Zone);
    }

    /// \p era is of any answer of the store, to this node or to a peer; 0 if not stated.
    void onStoreEra(StoreEra era)
    {
        if (era <= m_storeEra)
            return;
        m_store.setEra(era);
        const StoreEra previous = std::exchange(m_storeEra, era);
        m_log.write("store-era", LogLine("store-era").add("before", previous).add("now", era),
                    steadyNow());
        if (previous != 0)
            m_mesh.onStoreReset();
    }

    void onGateStateChanged(bool isUrgent) override
    {
        m_mesh.reportGate(isUrgent ? ReportAudience::All : ReportAudience::Due);
        if (m_gate.hasQueuedAttempts() && !m_isQueueCheckScheduled)
            scheduleQueueCheck();
    }

    void onAttemptRefused(const std::string &requestId, Reason reason) override
    {
        m_metrics.recordGateRefusal(reason);
        const GateReport report = m_gate.report();
        m_log.write("gate-refused",
                    LogLine("gate-refused")
                            .add("request", requestId)
                            .add("reason", name(reason))
                            .add("running", report.running)
                            .add("queued", report.queued)
                            .add("slots", report.slots),
                    steadyNow());
    }

    bool admits(const AttemptRequest &request) override { return m_rollouts.admits(request); }

    void onServerRunEnded(const AttemptRequest &request, ServerRunEnd end,
                          absl::Duration serviceTime) override
    {
        m_rollouts.onServerRunEnded(request, end, serviceTime);
    }

    void onServerStateChanged(std::string_view cause) override
    {
        const ServerLifecycle &lifecycle = m_gate.lifecycle();
        m_log.write("backend-server",
                    LogLine("backend-server")
                            .add("server", lifecycle.id().value())
                            .add("state", name(lifecycle.state()))
                            .add("slots", lifecycle.slots())
                            .add("started_ms", lifecycle.startedUnixMs())
                            .add("cause", cause),
                    steadyNow());
    }

    void onRequestLimitChanged() override
    {
        LogLine line("request-limit");
        line.add("server", m_gate.lifecycle().id().value());
        if (const auto limit = m_gate.requestLimit())
            line.add("per_second", *limit);
        else
            line.add("per_second", "none");
        line.add("sent", m_gate.startedRequestCount());
        m_log.write("request-limit", line, steadyNow());
    }

    void onRequestLimitUnreadable() override
    {
        m_metrics.recordUndecodable("request-limit");
        m_log.write(
                "request-limit-unreadable",
                LogLine("request-limit-unreadable").add("server", m_gate.lifecycle().id().value()),
                steadyNow());
    }

    void onServerCrashed(const ServerCrash &crash) override { m_mesh.broadcastCrash(crash); }

    void onCrashNotCharged(const ServerCrash &crash, absl::Duration answerAge) override
    {
        m_log.write("server-crash-not-charged",
                    LogLine("server-crash-not-charged")
                            .add("content", crash.content.value())
                            .add("process", crash.process.value())
                            .add("answered_ms", answerAge),
                    steadyNow());
    }

    void onCrashesCleared(ContentDigest content) override { m_mesh.broadcastAnswered(content); }

    void onLeavingNotice(const std::string &requestId, const DrainRecord &record) override
    {
        m_log.write("leaving-notice",
                    LogLine("leaving-notice")
                            .add("server", record.server.value())
                            .add("started_ms", record.startedUpToUnixMs)
                            .add("request", requestId),
                    steadyNow());
        // Nobody waits for a copy of the record, which an earlier drain may have already.
        m_mesh.drainReplicator().replicate(record, [this, record](DrainCopy copy) {
            m_log.write("leaving-recorded",
                        LogLine("leaving-recorded")
                                .add("server", record.server.value())
                                .add("recorded", name(copy)),
                        steadyNow());
        });
    }

    void refreshGauges()
    {
        m_metrics.setGauge("configuration_version",
                           static_cast<double>(m_configurationUpdater.version().value()));
        m_metrics.setGauge("configuration_read_age_seconds",
                           absl::ToDoubleSeconds(m_configurationUpdater.timeSinceRead()));
        m_metrics.setGauge("configuration_confirmed_age_seconds",
                           absl::ToDoubleSeconds(m_configurationUpdater.timeSinceConfirmed()));
        m_metrics.setGauge("configuration_proved_age_seconds",
                           absl::ToDoubleSeconds(m_configurationUpdater.timeSinceProved()));
        m_metrics.setGauge("links_up", static_cast<double>(m_mesh.openLinkCount()));
        m_metrics.setGauge("known_nodes", static_cast<double>(m_mesh.nodeCount()));
        m_metrics.setGauge("client_connections",
                           static_cast<double>(m_clientServer.connectionCount()));
        m_metrics.setGauge("open_calls", static_cast<double>(m_ingress.callCount()));
        m_metrics.setGauge("quota_accounts_owned",
                           static_cast<double>(m_quotaExchange.ownedCount()));
        m_metrics.setGauge("quota_requests_waiting",
                           static_cast<double>(m_quotaExchange.waitingCount()));
        m_metrics.setGauge("request_limit",
                           m_gate.requestLimit().value_or(std::numeric_limits<double>::infinity()));
        m_metrics.setGauge("requests_sent_to_server",
                           static_cast<double>(m_gate.startedRequestCount()));
        m_metrics.setGauge("held_bytes", static_cast<double>(m_inputKeeper.budget().heldBytes()));
        m_metrics.setGauge("held_bytes_limit",
                           static_cast<double>(m_inputKeeper.budget().limitBytes()));
        m_metrics.setGauge("held_output_bytes",
                           static_cast<double>(m_inputKeeper.outputBudget().heldBytes()));
        m_metrics.setGauge("held_output_bytes_limit",
                           static_cast<double>(m_inputKeeper.outputBudget().limitBytes()));
        m_metrics.setGauge("log_lines_dropped", static_cast<double>(m_log.droppedLineCount()));
    }

    void scheduleTick()
    {
        expireAfter(m_tickTimer, TickInterval);
        m_tickTimer.async_wait([this](const boost::system::error_code &error) {
            if (error)
                return;
            tick();
            if (!m_loop.stopped())
                scheduleTick();
        });
    }

    void scheduleQueueCheck()
    {
        m_isQueueCheckScheduled = true;
        expireAfter(m_queueCheckTimer, QueueCheckInterval);
        m_queueCheckTimer.async_wait([this](const boost::system::error_code &error) {
            m_isQueueCheckScheduled = false;
            if (error)
                return;
            m_gate.tick();
            if (m_gate.hasQueuedAttempts() && !m_isQueueCheckScheduled)
                scheduleQueueCheck();
        });
    }

    void tick()
    {
        const absl::Time now = steadyNow();
        m_mesh.tick();
        m_rollouts.tick();
        m_accessGuard.tick();
        if (now - m_lastConnectionCheck >= ConnectionCheckInterval) {
            m_lastConnectionCheck = now;
            m_gate.tick();
            m_clientServer.closeTimedOutConnections();
            m_announcementServer.closeTimedOutConnections();
            m_readinessServer.closeTimedOutConnections();
            m_metricsServer.closeTimedOutConnections();
        }
        if (m_reclaimSchedule.isDue(m_inputKeeper.budget().heldBytes()
                                            + m_inputKeeper.outputBudget().heldBytes(),
                                    now))
            ::malloc_trim(0);
        if (now - m_lastSettingsCheck >= SettingsCheckInterval) {
            m_lastSettingsCheck = now;
            reloadSettingsIfChanged();
        }
        if (m_shutdown)
            continueShutdown(now);
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
            if (error)
                return;
            if (signal == SIGHUP)
                reloadSettings();
            else
                beginShutdown();
            waitForSignal();
        });
    }

    /// Detects changes that were made without a SIGHUP.
    void reloadSettingsIfChanged()
    {
        const auto text = readFile(m_settingsFile);
        if (text && *text != m_lastSettingsText)
            reloadSettings();
    }

    void reloadSettings()
    {
        const auto text = readFile(m_settingsFile);
        std::string problem = "cannot be read";
        m_lastSettingsText = text.value_or("");
        const auto settings =
                text ? valueOrErrorText([&] { return decodeMeshSettings(*text); }, problem)
                     : std::nullopt;
        if (!settings) {
            m_log.write("reload-refused", LogLine("reload-refused").add("problem", problem),
                        steadyNow());
            return;
        }
        m_settings.stopTimeout = settings->stopTimeout;
        m_ingress.setRetryRule(settings->retryRule);
        m_accessGuard.setBounds(settings->revocation);
        m_log.write("reload",
                    LogLine("reload")
                            .add("changed", *settings == m_settings ? "no" : "yes")
                            .add("stop_timeout_ms", m_settings.stopTimeout),
                    steadyNow());
    }

    void beginShutdown()
    {
        if (m_shutdown)
            return;
        m_shutdown.emplace(steadyNow(), m_settings.stopTimeout);
        m_log.write("stopping", LogLine("stopping").add("open_calls", m_ingress.callCount()),
                    steadyNow());
        m_readinessService.setReady(false);
        m_clientServer.disableKeepAlive();
        m_ingress.beginShutdown(*m_shutdown);
        m_gate.setLatestCompletion(m_shutdown->finalAnswerTime());
        m_mesh.beginShutdown(m_gate.lifecycle().state() != ServerState::Ready);
        expireAfter(m_finalAnswerTimer, m_shutdown->finalAnswerTime() - steadyNow());
        m_finalAnswerTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                m_ingress.failOpenCalls();
        });
        // A tick may come too late for the exit on a host whose processor is busy.
        expireAfter(m_exitTimer, m_shutdown->exitTime() - steadyNow());
        m_exitTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                m_loop.stop();
        });
    }

    /// Accepts requests for a while, then waits for those in progress. Calls that are still open
    /// near the end of the stop timeout are failed.
    void continueShutdown(absl::Time now)
    {
        if (m_shutdown->isAccepting(now))
            return;
        if (!m_hasStoppedAccepting) {
            m_hasStoppedAccepting = true;
            m_clientServer.stopAccepting();
            // Until now the backend server also accepted requests forwarded by other hosts.
            m_gate.beginShutdown();
        }
        // Also answers calls that have begun since the timer for the final answers expired.
        if (now >= m_shutdown->finalAnswerTime())
            m_ingress.failOpenCalls();
        const bool hasRequestsInProgress = m_ingress.callCount() > 0 || m_gate.attemptCount() > 0
                                           || m_clientServer.hasUndeliveredAnswers()
                                           || m_mesh.hasUnfinishedAnswers();
        if (!hasRequestsInProgress)
            m_loop.stop();
    }

    MeshSettings m_settings;
    const PlatformProtocol &m_protocol;
    std::string m_settingsFile;
    std::string m_lastSettingsText; ///< As last read, whether or not it was valid.
    asio::io_context m_loop;
    SeededRandom m_random;
    RateLimitedLog m_log;
    NodeMetrics m_metrics;
    FinishTimeSelector m_selector;
    CrashHistory m_crashHistory;
    StoreClient m_store;
    BackendServerGate m_gate;
    LinkScheduler m_linkScheduler;
    InputKeeper m_inputKeeper;
    PeerMesh m_mesh;
    RolloutTraffic m_rolloutTraffic;
    RolloutCoordinator m_rollouts;
    QuotaExchange m_quotaExchange;
    IngressService m_ingress;
    ConfigurationUpdater m_configurationUpdater;
    AccessGuard m_accessGuard;
    AnnouncementService m_announcementService;
    ReadinessService m_readinessService;
    MetricsService m_metricsService;
    HttpServer m_clientServer;
    HttpServer m_announcementServer;
    HttpServer m_readinessServer;
    HttpServer m_metricsServer;
    asio::signal_set m_signals;
    LoopTimer m_tickTimer;
    LoopTimer m_queueCheckTimer;
    LoopTimer m_finalAnswerTimer; ///< Runs during a shutdown, as does m_exitTimer.
    LoopTimer m_exitTimer;
    ReclaimSchedule m_reclaimSchedule;
    bool m_isQueueCheckScheduled = false;
    absl::Time m_lastConnectionCheck = absl::InfinitePast();
    absl::Time m_lastSettingsCheck = absl::InfinitePast();
    StoreEra m_storeEra = 0;                    ///< The latest one seen.
    std::optional<ShutdownSchedule> m_shutdown; ///< Since SIGTERM.
    bool m_hasStoppedAccepting = false;
};

} // namespace

Result<std::unique_ptr<MeshNode>>
MeshNode::create(MeshSettings settings, const PlatformProtocol &protocol, std::string settingsFile)
{
    // Malformed bytes from peers must not cause unbounded log output by protobuf. A malformed frame
    // closes its link and is logged there.
    google::protobuf::SetLogHandler(nullptr);
    (void)::mallopt(M_MMAP_THRESHOLD, ReturnedBlockBytes); // Fails only for values out of range.
    BOOST_LEAF_AUTO(lease, ConfigurationLease::create(settings.configurationApplyLimit));
    auto node =
            std::make_unique<Node>(std::move(settings), protocol, lease, std::move(settingsFile));
    BOOST_LEAF_CHECK(node->listen());
    return std::unique_ptr<MeshNode>(std::move(node));
}

} // namespace godwitlift
