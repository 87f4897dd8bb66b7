/// \file
/// Creates the components of a node and runs their timers.
#include "godwitlift/adapters/NodeRuntime.h"

#include "LocalApi.h"
#include "OperatorApi.h"
#include "ServingRuntime.h"
#include "godwitlift/adapters/EventLog.h"
#include "godwitlift/platform/InMemoryPlatform.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <sys/resource.h>

#include <atomic>
#include <fstream>
#include <random>
#include <thread>

#include <unistd.h>

namespace godwitlift {

namespace {

constexpr absl::Duration ServingTickPeriod = absl::Milliseconds(10);
constexpr int ServingTicksPerControlTick = 10;
constexpr int ControlTicksPerMetricsSample = 10;
constexpr absl::Duration DrainPropagationTime = absl::Milliseconds(500);
constexpr absl::Duration ProgressPollPeriod = absl::Milliseconds(20);

/// Random source seeded by the operating system. Everything else takes its random source as a
/// parameter.
class SystemRandom final : public RandomSource
{
public:
    SystemRandom()
        : m_engine(seed())
    {}
    std::uint64_t next() override { return m_engine(); }

private:
    static std::uint64_t seed()
    {
        std::random_device device;
        return (static_cast<std::uint64_t>(device()) << 32U) | device();
    }
    std::mt19937_64 m_engine;
};

double processorSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

std::unique_ptr<PlatformWorkers> createPlatformWorkers(const NodeSettings &settings)
{
    if (settings.platformKind == PlatformKind::Network)
        return std::make_unique<PlatformWorkers>(
                createNetworkTableService(settings.networkPlatform),
                createNetworkObjectStore(settings.networkPlatform));
    return std::make_unique<PlatformWorkers>(std::make_unique<InMemoryTableService>(),
                                             std::make_unique<InMemoryObjectStore>());
}

class Node final : public NodeRuntime, public PeerHandler
{
public:
    explicit Node(NodeSettings settings)
        : m_settings(std::move(settings))
    {}
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;
    ~Node() override { stop(); }

    Result<void> initialize()
    {
        const NodeIdentity &identity = m_settings.identity;
        m_metrics = Metrics::create();
        m_peers = PeerClient::create({ identity.host, identity.address }, m_settings.meshSecret,
                                     *m_metrics);
        m_platform = createPlatformWorkers(m_settings);
        m_backends = BackendClient::create();
        BOOST_LEAF_AUTO(plane, ControlPlane::create(identity, m_settings.controlPolicy, absl::Now(),
                                                    m_controlRandom));
        m_control = std::make_unique<ControlRuntime>(
                std::move(plane), *m_peers, *m_platform, *m_metrics,
                [this](const CompiledTable &table) { m_serving->setRoutingTable(table); });
        m_serving = std::make_unique<ServingRuntime>(identity, m_settings.ingressPolicy,
                                                     m_servingRandom, *m_control, *m_peers,
                                                     *m_platform, *m_backends, *m_metrics);
        m_operatorApi = std::make_unique<OperatorApi>(m_settings.operatorCredentials, *m_control);
        m_localApi = std::make_unique<LocalApi>(*m_control, *m_serving, *m_metrics);
        return listen();
    }

    bool shutdownGracefully() override
    {
        m_serving->drain();
        m_control->processInput(
                [](ControlPlane &plane, absl::Time now) { return plane.beginShutdown(now); });
        const absl::Time deadline = absl::Now() + m_settings.shutdownTimeout;
        // Until the peers have learnt of the drain, this node still answers their requests with
        // refusals that carry a verdict.
        absl::SleepFor(DrainPropagationTime);
        while (hasRequestsInProgress() && absl::Now() < deadline)
            absl::SleepFor(ProgressPollPeriod);
        const bool isIdle = !hasRequestsInProgress();
        m_control->processInput(
                [](ControlPlane &plane, absl::Time now) { return plane.leave(now); });
        absl::SleepFor(DrainPropagationTime);
        logEvent({ "shutdown", { { "clean", isIdle ? "true" : "false" } } });
        stop();
        return isIdle;
    }

    void onMessage(const Peer &from, const PeerMessage &message) override
    {
        m_control->processInput([&](ControlPlane &plane, absl::Time now) {
            return plane.receive(from, message, now);
        });
    }

    void onForwardedCall(ForwardedCall call, std::shared_ptr<AnswerSink> sink) override
    {
        m_serving->onForwardedCall(std::move(call), std::move(sink));
    }

private:
    /// Serves callers: issues idempotency keys and passes on all other requests as calls.
    class CallerHandler final : public HttpHandler
    {
    public:
        explicit CallerHandler(ServingRuntime &serving)
            : m_serving(serving)
        {}
        void handle(std::shared_ptr<HttpExchange> exchange) override
        {
            if (exchange->request().path != "/.godwitlift/keys") {
                m_serving.handle(std::move(exchange));
                return;
            }
            exchange->respond(200, { { "Content-Type", "text/plain" } },
                              m_serving.issueKey().value() + "\n");
        }

    private:
        ServingRuntime &m_serving;
    };

    Result<void> listen()
    {
        HttpLimits callerLimits;
        callerLimits.maxBodyBytes = m_settings.requestLimitBytes;
        HttpLimits apiLimits;
        apiLimits.maxConnections = 64;
        apiLimits.threadCount = 1;
        m_callerHandler = std::make_unique<CallerHandler>(*m_serving);
        BOOST_LEAF_ASSIGN(m_peerServer,
                          PeerServer::listen(m_settings.peerAddress, m_settings.meshSecret, *this,
                                             *m_metrics));
        BOOST_LEAF_ASSIGN(m_callerServer, HttpServer::listen(m_settings.callerAddress, callerLimits,
                                                             *m_callerHandler));
        BOOST_LEAF_ASSIGN(m_operatorServer, HttpServer::listen(m_settings.operatorAddress,
                                                               apiLimits, *m_operatorApi));
        BOOST_LEAF_ASSIGN(m_localServer,
                          HttpServer::listen(m_settings.localApiAddress, apiLimits, *m_localApi));
        m_timerThread = std::thread([this] { runTimers(); });
        logEvent({ "node_started",
                   { { "zone", m_settings.identity.zone.value() },
                     { "peers", m_settings.peerAddress.value() },
                     { "calls", m_settings.callerAddress.value() },
                     { "incarnation", absl::StrCat(m_settings.identity.incarnation.value()) } } });
        return {};
    }

    void runTimers()
    {
        int ticks = 0;
        while (!m_stopping) {
            if (ticks % ServingTicksPerControlTick == 0)
                runControlTick(ticks / ServingTicksPerControlTick);
            m_serving->tick();
            ++ticks;
            absl::SleepFor(ServingTickPeriod);
        }
    }

    void runControlTick(int tickCount)
    {
        m_control->processInput(
                [](ControlPlane &plane, absl::Time now) { return plane.tick(now); });
        if (tickCount % ControlTicksPerMetricsSample != 0)
            return;
        const NodeStatus status = m_control->status();
        if (status.isReady)
            m_serving->setReady();
        m_metrics->setHostCount(status.hostCount);
        m_metrics->setProcessorSeconds(processorSeconds());
        m_metrics->setResidentBytes(residentBytes());
    }

    bool hasRequestsInProgress() const
    {
        return m_serving->activeRequestCount() > 0 || m_callerServer->openExchangeCount() > 0;
    }

    /// Stops each thread before the objects that it uses. May be called more than once.
    void stop()
    {
        m_stopping = true;
        if (m_timerThread.joinable())
            m_timerThread.join();
        m_callerServer.reset();
        m_operatorServer.reset();
        m_localServer.reset();
        if (m_peerServer != nullptr)
            m_peerServer->shutdown(absl::Milliseconds(200));
        if (m_platform != nullptr)
            m_platform->stop();
        if (m_peers != nullptr)
            m_peers->shutdown();
        m_backends.reset();
    }

    NodeSettings m_settings;
    SystemRandom m_controlRandom; ///< Used under the control lock.
    SystemRandom m_servingRandom; ///< Used under the serving lock.
    std::unique_ptr<Metrics> m_metrics;
    std::unique_ptr<PeerClient> m_peers;
    std::unique_ptr<PlatformWorkers> m_platform;
    std::unique_ptr<ControlRuntime> m_control;
    std::unique_ptr<BackendClient> m_backends;
    std::unique_ptr<ServingRuntime> m_serving;
    std::unique_ptr<OperatorApi> m_operatorApi;
    std::unique_ptr<LocalApi> m_localApi;
    std::unique_ptr<CallerHandler> m_callerHandler;
    std::unique_ptr<PeerServer> m_peerServer;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_operatorServer;
    std::unique_ptr<HttpServer> m_localServer;
    std::atomic<bool> m_stopping = false;
    std::thread m_timerThread;
};

} // namespace

Result<std::unique_ptr<NodeRuntime>> NodeRuntime::start(NodeSettings settings)
{
    settings.identity.incarnation =
            Incarnation(static_cast<std::uint64_t>(absl::ToUnixMillis(absl::Now())));
    auto node = std::make_unique<Node>(std::move(settings));
    BOOST_LEAF_CHECK(node->initialize());
    return std::unique_ptr<NodeRuntime>(std::move(node));
}

} // namespace godwitlift
