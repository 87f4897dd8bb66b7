/// \file
/// gRPC client for messages and forwarded calls to peers.
#include "MeshMetadata.h"
#include "PeerCodec.h"
#include "godwitlift/adapters/PeerTransport.h"
#include "peer.grpc.pb.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/synchronization/mutex.h>
#include <grpcpp/grpcpp.h>

#include <atomic>
#include <deque>
#include <thread>

namespace godwitlift {

namespace {

constexpr absl::Duration DeliverTimeout = absl::Seconds(3);
constexpr absl::Duration ConnectTimeout = absl::Milliseconds(500);
constexpr absl::Duration CertainFailureTime = absl::Milliseconds(100);
/// Messages to one peer that may be under way; more are dropped, since each will be repeated.
constexpr int PendingMessageLimit = 128;
constexpr int ConnectorCount = 4;

/// One connection to a peer. Replaced as a whole; calls in progress keep theirs alive.
struct Connection
{
    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<wire::Peer::Stub> stub;
    std::atomic<int> pendingMessages = 0;
};

/// Receives one answer. Owned by gRPC and by its handle until OnDone().
class ForwardReactor final : public grpc::ClientReadReactor<wire::AnswerBatch>,
                             public ForwardHandle,
                             public std::enable_shared_from_this<ForwardReactor>
{
public:
    ForwardReactor(wire::CallRequest request, AttemptId attempt, std::shared_ptr<AnswerSink> sink,
                   const std::string &meshSecret)
        : m_request(std::move(request))
        , m_attempt(attempt)
        , m_sink(std::move(sink))
    {
        m_context.AddMetadata(MeshSecretKey, meshSecret);
    }

    /// Starts the call on a connected channel.
    void start(std::shared_ptr<Connection> connection)
    {
        m_connection = std::move(connection);
        m_self = shared_from_this();
        m_connection->stub->async()->Forward(&m_context, &m_request, this);
        StartRead(&m_batch);
        StartCall();
    }

    /// Ends the call that was never started: it certainly did not run.
    void failUnsent(Reason reason)
    {
        AnswerRefusal refusal;
        refusal.attempt = m_attempt;
        refusal.verdict = Verdict::NotRun;
        refusal.reason = reason;
        finish(refusal);
    }

    void cancel() override
    {
        m_cancelled = true;
        m_context.TryCancel();
    }
    bool isCancelled() const { return m_cancelled; }

    void OnReadDone(bool ok) override
    {
        if (!ok)
            return;
        for (const wire::AnswerFrame &frame : m_batch.frames())
            take(frame);
        if (m_ended) {
            StartRead(&m_batch);
            return;
        }
        auto self = shared_from_this();
        AddHold();
        if (!m_sink->isReadyForMore([self] {
                self->StartRead(&self->m_batch);
                self->RemoveHold();
            }))
            return;
        RemoveHold();
        StartRead(&m_batch);
    }

    void OnDone(const grpc::Status &status) override
    {
        if (!m_ended) {
            AnswerRefusal refusal;
            refusal.attempt = m_attempt;
            const bool refused = status.error_code() == grpc::StatusCode::PERMISSION_DENIED;
            refusal.verdict = refused ? Verdict::NotRun : Verdict::MayHaveRun;
            refusal.reason = refused ? Reason::PeerRefused : Reason::AnswerLost;
            finish(refusal);
        }
        m_self.reset();
    }

private:
    void take(const wire::AnswerFrame &frame)
    {
        if (m_ended)
            return;
        switch (frame.frame_case()) {
        case wire::AnswerFrame::kHead:
            m_sink->onHead(fromWire(frame.head()));
            break;
        case wire::AnswerFrame::kBody:
            m_sink->onBody(frame.body());
            break;
        case wire::AnswerFrame::kEnd:
            m_ended = true;
            m_sink->onEnd(fromWire(frame.end()));
            break;
        case wire::AnswerFrame::kRefusal:
            finish(fromWire(frame.refusal()));
            break;
        case wire::AnswerFrame::FRAME_NOT_SET:
            break;
        }
    }

    void finish(const AnswerRefusal &refusal)
    {
        m_ended = true;
        m_sink->onRefusal(refusal);
    }

    wire::CallRequest m_request;
    AttemptId m_attempt;
    std::shared_ptr<AnswerSink> m_sink;
    grpc::ClientContext m_context;
    std::shared_ptr<Connection> m_connection;
    wire::AnswerBatch m_batch;
    bool m_ended = false;
    std::atomic<bool> m_cancelled = false;
    std::shared_ptr<ForwardReactor> m_self; ///< Set while gRPC may call back.
};

/// A message under way.
struct PendingMessage
{
    grpc::ClientContext context;
    wire::Envelope envelope;
    wire::Ack ack;
    std::shared_ptr<Connection> connection;
};

/// Holds one connection per peer. Lock order: its lock is a leaf, never held while gRPC is entered
/// with work that may call back.
class GrpcPeerClient final : public PeerClient
{
public:
    GrpcPeerClient(Peer self, std::string meshSecret, TrafficObserver &traffic)
        : m_self(std::move(self))
        , m_meshSecret(std::move(meshSecret))
        , m_traffic(traffic)
    {
        for (int i = 0; i < ConnectorCount; ++i)
            m_connectors.emplace_back([this] { connectWaiting(); });
    }
    GrpcPeerClient(const GrpcPeerClient &) = delete;
    GrpcPeerClient &operator=(const GrpcPeerClient &) = delete;
    ~GrpcPeerClient() override { shutdown(); }

    void deliver(const Address &to, const PeerMessage &message) override
    {
        std::shared_ptr<Connection> connection = connectionTo(to);
        if (connection == nullptr || connection->pendingMessages >= PendingMessageLimit)
            return;
        auto pending = std::make_shared<PendingMessage>();
        pending->envelope = toWire(message);
        pending->envelope.set_host(m_self.host.value());
        pending->envelope.set_address(m_self.address.value());
        pending->context.set_deadline(absl::ToChronoTime(absl::Now() + DeliverTimeout));
        pending->context.AddMetadata(MeshSecretKey, m_meshSecret);
        pending->connection = connection;
        ++connection->pendingMessages;
        m_traffic.sent(kindName(message), pending->envelope.ByteSizeLong());
        connection->stub->async()->Deliver(
                &pending->context, &pending->envelope, &pending->ack,
                [pending](const grpc::Status &) { --pending->connection->pendingMessages; });
    }

    std::shared_ptr<ForwardHandle> forward(const Address &to, ForwardedCall call,
                                           std::shared_ptr<AnswerSink> sink) override
    {
        const AttemptId attempt = call.attempt;
        auto reactor = std::make_shared<ForwardReactor>(toWire(call), attempt, std::move(sink),
                                                        m_meshSecret);
        std::shared_ptr<Connection> connection = connectionTo(to);
        if (connection == nullptr) {
            reactor->failUnsent(Reason::ConnectFailed);
            return reactor;
        }
        if (connection->channel->GetState(true) == GRPC_CHANNEL_READY) {
            reactor->start(std::move(connection));
            return reactor;
        }
        const absl::MutexLock lock(&m_mutex);
        m_waiting.push_back({ reactor, std::move(connection), absl::Now() + ConnectTimeout });
        return reactor;
    }

    void replaceConnection(const Address &to) override
    {
        const absl::MutexLock lock(&m_mutex);
        m_connections.erase(to);
    }

    void shutdown() override
    {
        {
            const absl::MutexLock lock(&m_mutex);
            m_stopping = true;
            m_connections.clear();
        }
        for (std::thread &connector : m_connectors)
            connector.join();
        m_connectors.clear();
    }

private:
    struct WaitingCall
    {
        std::shared_ptr<ForwardReactor> reactor;
        std::shared_ptr<Connection> connection;
        absl::Time deadline;
    };

    std::shared_ptr<Connection> connectionTo(const Address &to)
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_stopping)
            return nullptr;
        std::shared_ptr<Connection> &connection = m_connections[to];
        if (connection == nullptr)
            connection = connect(to);
        return connection;
    }

    static std::shared_ptr<Connection> connect(const Address &to)
    {
        grpc::ChannelArguments arguments;
        // Retries are decided by the ingress; a hidden one could run a call twice.
        arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 200);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 200);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 2000);
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        arguments.SetMaxReceiveMessageSize(MessageLimitBytes);
        auto connection = std::make_shared<Connection>();
        connection->channel = grpc::CreateCustomChannel(
                "ipv4:" + to.value(), grpc::InsecureChannelCredentials(), arguments);
        connection->stub = wire::Peer::NewStub(connection->channel);
        return connection;
    }

    void connectWaiting()
    {
        while (true) {
            WaitingCall waiting;
            {
                const absl::MutexLock lock(&m_mutex);
                const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
                    return m_stopping || !m_waiting.empty();
                };
                m_mutex.Await(absl::Condition(&ready));
                if (m_stopping)
                    return;
                waiting = std::move(m_waiting.front());
                m_waiting.pop_front();
            }
            finishConnecting(waiting);
        }
    }

    void finishConnecting(const WaitingCall &waiting)
    {
        grpc::Channel &channel = *waiting.connection->channel;
        absl::Time until = waiting.deadline;
        // A peer that just refused a connection is not waited for at length by every call.
        if (channel.GetState(true) == GRPC_CHANNEL_TRANSIENT_FAILURE)
            until = std::min(until, absl::Now() + CertainFailureTime);
        const bool connected = channel.WaitForConnected(absl::ToChronoTime(until));
        if (connected && !waiting.reactor->isCancelled())
            waiting.reactor->start(waiting.connection);
        else
            waiting.reactor->failUnsent(Reason::ConnectFailed);
    }

    Peer m_self;
    std::string m_meshSecret;
    TrafficObserver &m_traffic;
    absl::Mutex m_mutex;
    absl::flat_hash_map<Address, std::shared_ptr<Connection>>
            m_connections ABSL_GUARDED_BY(m_mutex);
    std::deque<WaitingCall> m_waiting ABSL_GUARDED_BY(m_mutex);
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::vector<std::thread> m_connectors;
};

} // namespace

std::unique_ptr<PeerClient> PeerClient::create(const Peer &self, std::string meshSecret,
                                               TrafficObserver &traffic)
{
    return std::make_unique<GrpcPeerClient>(self, std::move(meshSecret), traffic);
}

} // namespace godwitlift
