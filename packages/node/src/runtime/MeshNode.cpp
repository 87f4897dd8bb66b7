/// \file
/// Composition of a node, its timers and its stop.
#include "godwitlift/node/MeshNode.h"

#include "ingress/IngressService.h"
#include "peers/PeerMesh.h"
#include "runtime/AnnouncementService.h"
#include "runtime/ConfigurationKeeper.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <google/protobuf/stubs/logging.h>

#include <fstream>
#include <iterator>
#include <random>
#include <unistd.h>

namespace godwitlift {

namespace {

/// Pause between two rounds of checks that need no exact time.
constexpr absl::Duration TickPause = absl::Milliseconds(100);
/// Pause between two checks of the queue while requests wait.
constexpr absl::Duration QueuePause = absl::Milliseconds(20);
/// Pause between two sweeps over client connections and idle ones to the backend server.
constexpr absl::Duration SweepPause = absl::Seconds(1);
/// Pause between two looks at the settings file; a change needs no more haste than its operator.
constexpr absl::Duration SettingsCheckPause = absl::Seconds(5);
/// Descriptors kept for files, links, the store and the backend server.
constexpr std::size_t ReservedDescriptors = 600;
/// After SIGTERM the node takes requests until its readiness has led the clients away: the
/// platform asks once a second, and two refusals in a row count.
constexpr absl::Duration LeaveNotice = absl::Milliseconds(2300);
/// Part of the stop timeout that is kept for the final answers of calls that are still open.
constexpr absl::Duration ConclusionMargin = absl::Milliseconds(500);
/// Part of the stop timeout that is kept for closing.
constexpr absl::Duration StopMargin = absl::Milliseconds(250);

/// Answers the platform's question whether clients may come.
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
    void requestRejected(unsigned) override {}

private:
    const PlatformProtocol &m_protocol;
    bool m_isReady = false;
};

/// Serves the metrics as text.
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
    void requestRejected(unsigned) override {}

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
    Node(MeshSettings settings, const PlatformProtocol &protocol, std::string settingsFile)
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
                  })
        , m_server(m_loop,
                   { m_settings.service, *parseEndpoint(m_settings.backendServerAddress.value()),
                     protocol },
                   *this)
        , m_link(m_loop, m_settings.linkMbps)
        , m_mesh(m_loop, m_link,
                 { { m_settings.host, m_settings.advertisedPeerAddress, m_settings.zone },
                   m_settings.peerAddress,
                   m_settings.linkMbps },
                 m_store, m_server, m_selector, m_log, m_metrics, m_random)
        , m_ingress(m_loop,
                    { m_settings.host, m_settings.service, protocol.headerNames(),
                      m_settings.retryRule },
                    m_selector, m_mesh, m_log, m_metrics)
        , m_keeper(m_loop, m_store, protocol, m_random, m_log, m_metrics,
                   [this](auto catalogue) { configurationInForce(std::move(catalogue)); })
        , m_announcements(protocol, m_settings.service, m_settings.backendServerAddress, m_server,
                          m_mesh, m_log, m_metrics)
        , m_readiness(protocol)
        , m_metricsService(m_metrics, [this] { refreshGauges(); })
        , m_clientServer(m_loop, m_link, m_ingress)
        , m_announcementServer(m_loop, m_link, m_announcements)
        , m_readinessServer(m_loop, m_link, m_readiness)
        , m_metricsServer(m_loop, m_link, m_metricsService)
        , m_signals(m_loop, SIGTERM, SIGINT, SIGHUP)
        , m_tick(m_loop.get_executor())
        , m_queueTick(m_loop.get_executor())
    {
        m_mesh.setConfiguration(m_keeper);
        m_selector.setOwnZone(m_settings.zone);
        m_clientServer.setLimits(clientLimits(ClientLimits()));
        m_settingsText = readFile(m_settingsFile).value_or("");
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
        m_mesh.start();
        m_keeper.start();
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
    ServerLimits clientLimits(const ClientLimits &limits) const
    {
        ServerLimits server;
        server.headBytes = limits.headerBytes;
        server.bodyBytes = limits.bodyBytes;
        server.headTimeout = limits.headerTimeout;
        server.idleTimeout = limits.idleTimeout;
        server.connections = m_settings.descriptorLimit > 2 * ReservedDescriptors
                                     ? m_settings.descriptorLimit - ReservedDescriptors
                                     : m_settings.descriptorLimit / 2;
        return server;
    }

    void configurationInForce(std::shared_ptr<const RouteCatalogue> catalogue)
    {
        m_clientServer.setLimits(clientLimits(catalogue->limits()));
        m_server.setCatalogue(catalogue);
        m_ingress.setCatalogue(std::move(catalogue));
        m_readiness.setReady(!m_isLeaving);
        m_mesh.reportGateChange(true);
    }

    void onGateStateChanged(bool isUrgent) override
    {
        m_mesh.reportGateChange(isUrgent);
        if (m_server.hasQueuedAttempts() && !m_isQueueTicking)
            scheduleQueueTick();
    }

    void onAttemptRefused(const std::string &requestId, Reason reason) override
    {
        m_metrics.recordGateRefusal(reason);
        const GateReport report = m_server.report();
        m_log.write("gate-refused",
                    LogLine("gate-refused")
                            .add("request", requestId)
                            .add("reason", name(reason))
                            .add("running", report.running)
                            .add("queued", report.queued)
                            .add("slots", report.slots),
                    steadyNow());
    }

    void onServerStateChanged(std::string_view cause) override
    {
        const ServerLifecycle &lifecycle = m_server.lifecycle();
        m_log.write("backend-server",
                    LogLine("backend-server")
                            .add("server", lifecycle.id().value())
                            .add("state", name(lifecycle.state()))
                            .add("slots", lifecycle.slots())
                            .add("started_ms", lifecycle.startedUnixMs())
                            .add("cause", cause),
                    steadyNow());
    }

    void refreshGauges()
    {
        m_metrics.setGauge("configuration_version",
                           static_cast<double>(m_keeper.version().value()));
        m_metrics.setGauge("links_up", static_cast<double>(m_mesh.openLinkCount()));
        m_metrics.setGauge("known_nodes", static_cast<double>(m_mesh.nodeCount()));
        m_metrics.setGauge("client_connections",
                           static_cast<double>(m_clientServer.connectionCount()));
        m_metrics.setGauge("open_calls", static_cast<double>(m_ingress.callCount()));
        m_metrics.setGauge("log_lines_dropped", static_cast<double>(m_log.droppedLineCount()));
    }

    void scheduleTick()
    {
        expireAfter(m_tick, TickPause);
        m_tick.async_wait([this](const boost::system::error_code &error) {
            if (error)
                return;
            tick();
            if (!m_loop.stopped())
                scheduleTick();
        });
    }

    void scheduleQueueTick()
    {
        m_isQueueTicking = true;
        expireAfter(m_queueTick, QueuePause);
        m_queueTick.async_wait([this](const boost::system::error_code &error) {
            m_isQueueTicking = false;
            if (error)
                return;
            m_server.tick();
            if (m_server.hasQueuedAttempts() && !m_isQueueTicking)
                scheduleQueueTick();
        });
    }

    void tick()
    {
        const absl::Time now = steadyNow();
        m_mesh.tick();
        if (now - m_lastSweep >= SweepPause) {
            m_lastSweep = now;
            m_server.tick();
            m_clientServer.sweep();
            m_announcementServer.sweep();
            m_readinessServer.sweep();
            m_metricsServer.sweep();
        }
        if (now - m_lastSettingsCheck >= SettingsCheckPause) {
            m_lastSettingsCheck = now;
            reloadIfChanged();
        }
        if (m_isLeaving)
            leaveIfDone(now);
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
            if (error)
                return;
            if (signal == SIGHUP)
                reload();
            else
                beginLeaving();
            waitForSignal();
        });
    }

    /// The file may also change without a signal.
    void reloadIfChanged()
    {
        const auto text = readFile(m_settingsFile);
        if (text && *text != m_settingsText)
            reload();
    }

    void reload()
    {
        const auto text = readFile(m_settingsFile);
        std::string problem = "cannot be read";
        m_settingsText = text.value_or("");
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
        m_log.write("reload",
                    LogLine("reload")
                            .add("changed", *settings == m_settings ? "no" : "yes")
                            .add("stop_timeout_ms", m_settings.stopTimeout),
                    steadyNow());
    }

    void beginLeaving()
    {
        if (m_isLeaving)
            return;
        m_isLeaving = true;
        m_leavingSince = steadyNow();
        m_log.write("stopping", LogLine("stopping").add("open_calls", m_ingress.callCount()),
                    steadyNow());
        m_readiness.setReady(false);
        m_clientServer.beginClosing();
        m_mesh.beginShutdown(m_server.lifecycle().state() != ServerState::Ready);
    }

    /// First requests are still taken, then only those in progress are finished.
    void leaveIfDone(absl::Time now)
    {
        const absl::Duration since = now - m_leavingSince;
        if (since < LeaveNotice)
            return;
        if (!m_hasStoppedAccepting) {
            m_hasStoppedAccepting = true;
            m_clientServer.stopAccepting();
            // Until here the backend server went on with the work of other hosts.
            m_server.beginShutdown();
        }
        const bool isBusy = m_ingress.callCount() > 0 || m_server.attemptCount() > 0
                            || m_clientServer.hasUnsent() || m_mesh.hasUnfinishedAnswers();
        if (isBusy && since < m_settings.stopTimeout - StopMargin) {
            if (since >= m_settings.stopTimeout - ConclusionMargin)
                m_ingress.failOpenCalls();
            return;
        }
        m_loop.stop();
    }

    MeshSettings m_settings;
    const PlatformProtocol &m_protocol;
    std::string m_settingsFile;
    std::string m_settingsText; ///< As last read, whether or not it was taken over.
    asio::io_context m_loop;
    SeededRandom m_random;
    RateLimitedLog m_log;
    NodeMetrics m_metrics;
    FinishTimeSelector m_selector;
    StoreClient m_store;
    BackendServerGate m_server;
    LinkScheduler m_link;
    PeerMesh m_mesh;
    IngressService m_ingress;
    ConfigurationKeeper m_keeper;
    AnnouncementService m_announcements;
    ReadinessService m_readiness;
    MetricsService m_metricsService;
    HttpServer m_clientServer;
    HttpServer m_announcementServer;
    HttpServer m_readinessServer;
    HttpServer m_metricsServer;
    asio::signal_set m_signals;
    LoopTimer m_tick;
    LoopTimer m_queueTick;
    bool m_isQueueTicking = false;
    absl::Time m_lastSweep = absl::InfinitePast();
    absl::Time m_lastSettingsCheck = absl::InfinitePast();
    bool m_isLeaving = false;
    absl::Time m_leavingSince;
    bool m_hasStoppedAccepting = false;
};

} // namespace

Result<std::unique_ptr<MeshNode>>
MeshNode::create(MeshSettings settings, const PlatformProtocol &protocol, std::string settingsFile)
{
    // Peers' bytes must not cause unbounded lines; a malformed frame ends its link, with a log
    // line.
    google::protobuf::SetLogHandler(nullptr);
    auto node = std::make_unique<Node>(std::move(settings), protocol, std::move(settingsFile));
    BOOST_LEAF_CHECK(node->listen());
    return std::unique_ptr<MeshNode>(std::move(node));
}

} // namespace godwitlift
