/// \file
/// gRPC client that sends messages and forwards calls to peers.
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

constexpr absl::Duration MessageTimeout = absl::Seconds(3);
constexpr absl::Duration ConnectTimeout = absl::Milliseconds(500);
/// Replaces ConnectTimeout while the channel reports a transient failure, so that calls to a peer
/// that refuses connections fail fast.
constexpr absl::Duration TransientFailureTimeout = absl::Milliseconds(100);
/// Limit of unacknowledged messages to one peer. Messages beyond it are dropped, since control
/// messages are repeated.
constexpr int MaxPendingMessages = 128;
constexpr int ConnectorThreadCount = 4;

/// A connection to a peer. Calls in progress keep their connection alive when it is replaced.
struct Connection
{
    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<wire::Peer::Stub> stub;
    std::atomic<int> pendingMessages = 0;
};

/// Receives the answer of one forwarded call. Owned by its handle and, until OnDone(), by gRPC.
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
        m_context.AddMetadata(MeshSecretMetadataKey, meshSecret);
    }

    /// Starts the call on a connected channel.
    void start(std::shared_ptr<Connection> connection)
    {
        m_connection = std::move(connection);
        m_selfReference = shared_from_this();
        m_connection->stub->async()->Forward(&m_context, &m_request, this);
        StartRead(&m_batch);
        StartCall();
    }

    /// Ends a call that was never sent, with the verdict NotRun.
    void failUnsentCall(Reason reason)
    {
        AnswerRefusal refusal;
        refusal.attempt = m_attempt;
        refusal.verdict = Verdict::NotRun;
        refusal.reason = reason;
        endWithRefusal(refusal);
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
            handleFrame(frame);
        if (m_answerEnded) {
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
        if (!m_answerEnded) {
            AnswerRefusal refusal;
            refusal.attempt = m_attempt;
            const bool isRefusedByPeer = status.error_code() == grpc::StatusCode::PERMISSION_DENIED;
            refusal.verdict = isRefusedByPeer ? Verdict::NotRun : Verdict::MayHaveRun;
            refusal.reason = isRefusedByPeer ? Reason::PeerRefused : Reason::AnswerLost;
            endWithRefusal(refusal);
        }
        m_selfReference.reset();
    }

private:
    void handleFrame(const wire::AnswerFrame &frame)
    {
        if (m_answerEnded)
            return;
        switch (frame.frame_case()) {
        case wire::AnswerFrame::kHead:
            m_sink->onHead(fromWire(frame.head()));
            break;
        case wire::AnswerFrame::kBody:
            m_sink->onBody(frame.body());
            break;
        case wire::AnswerFrame::kEnd:
            m_answerEnded = true;
            m_sink->onEnd(fromWire(frame.end()));
            break;
        case wire::AnswerFrame::kRefusal:
            endWithRefusal(fromWire(frame.refusal()));
            break;
        case wire::AnswerFrame::FRAME_NOT_SET:
            break;
        }
    }

    void endWithRefusal(const AnswerRefusal &refusal)
    {
        m_answerEnded = true;
        m_sink->onRefusal(refusal);
    }

    wire::CallRequest m_request;
    AttemptId m_attempt;
    std::shared_ptr<AnswerSink> m_sink;
    grpc::ClientContext m_context;
    std::shared_ptr<Connection> m_connection;
    wire::AnswerBatch m_batch;
    bool m_answerEnded = false;
    std::atomic<bool> m_cancelled = false;
    std::shared_ptr<ForwardReactor> m_selfReference; ///< Keeps the reactor alive until OnDone().
};

/// A message that the peer has not acknowledged.
struct PendingMessage
{
    grpc::ClientContext context;
    wire::Envelope envelope;
    wire::Ack ack;
    std::shared_ptr<Connection> connection;
};

/// Keeps one connection per peer. Its lock is a leaf lock and is never held during a call to gRPC
/// that may invoke a callback.
class GrpcPeerClient final : public PeerClient
{
public:
    GrpcPeerClient(Peer self, std::string meshSecret, ControlTrafficObserver &traffic)
        : m_self(std::move(self))
        , m_meshSecret(std::move(meshSecret))
        , m_traffic(traffic)
    {
        for (int i = 0; i < ConnectorThreadCount; ++i)
            m_connectorThreads.emplace_back([this] { runConnector(); });
    }
    GrpcPeerClient(const GrpcPeerClient &) = delete;
    GrpcPeerClient &operator=(const GrpcPeerClient &) = delete;
    ~GrpcPeerClient() override { shutdown(); }

    void sendMessage(const Address &to, const PeerMessage &message) override
    {
        std::shared_ptr<Connection> connection = findOrOpenConnection(to);
        if (connection == nullptr || connection->pendingMessages >= MaxPendingMessages)
            return;
        auto pending = std::make_shared<PendingMessage>();
        pending->envelope = toWire(message);
        pending->envelope.set_host(m_self.host.value());
        pending->envelope.set_address(m_self.address.value());
        pending->context.set_deadline(absl::ToChronoTime(absl::Now() + MessageTimeout));
        pending->context.AddMetadata(MeshSecretMetadataKey, m_meshSecret);
        pending->connection = connection;
        ++connection->pendingMessages;
        m_traffic.onMessageSent(kindName(message), pending->envelope.ByteSizeLong());
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
        std::shared_ptr<Connection> connection = findOrOpenConnection(to);
        if (connection == nullptr) {
            reactor->failUnsentCall(Reason::ConnectFailed);
            return reactor;
        }
        if (connection->channel->GetState(true) == GRPC_CHANNEL_READY) {
            reactor->start(std::move(connection));
            return reactor;
        }
        const absl::MutexLock lock(&m_mutex);
        m_connectingCalls.push_back(
                { reactor, std::move(connection), absl::Now() + ConnectTimeout });
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
        for (std::thread &thread : m_connectorThreads)
            thread.join();
        m_connectorThreads.clear();
    }

private:
    struct ConnectingCall
    {
        std::shared_ptr<ForwardReactor> reactor;
        std::shared_ptr<Connection> connection;
        absl::Time deadline;
    };

    std::shared_ptr<Connection> findOrOpenConnection(const Address &to)
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_stopping)
            return nullptr;
        std::shared_ptr<Connection> &connection = m_connections[to];
        if (connection == nullptr)
            connection = openConnection(to);
        return connection;
    }

    static std::shared_ptr<Connection> openConnection(const Address &to)
    {
        grpc::ChannelArguments arguments;
        // Only the ingress decides about retries; a retry by gRPC could run a call twice.
        arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 200);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 200);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 2000);
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        arguments.SetMaxReceiveMessageSize(MaxMessageBytes);
        auto connection = std::make_shared<Connection>();
        connection->channel = grpc::CreateCustomChannel(
                "ipv4:" + to.value(), grpc::InsecureChannelCredentials(), arguments);
        connection->stub = wire::Peer::NewStub(connection->channel);
        return connection;
    }

    void runConnector()
    {
        while (true) {
            ConnectingCall call;
            {
                const absl::MutexLock lock(&m_mutex);
                const auto isStoppingOrHasCall = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
                    return m_stopping || !m_connectingCalls.empty();
                };
                m_mutex.Await(absl::Condition(&isStoppingOrHasCall));
                if (m_stopping)
                    return;
                call = std::move(m_connectingCalls.front());
                m_connectingCalls.pop_front();
            }
            startWhenConnected(call);
        }
    }

    void startWhenConnected(const ConnectingCall &call)
    {
        grpc::Channel &channel = *call.connection->channel;
        absl::Time connectDeadline = call.deadline;
        if (channel.GetState(true) == GRPC_CHANNEL_TRANSIENT_FAILURE)
            connectDeadline = std::min(connectDeadline, absl::Now() + TransientFailureTimeout);
        const bool isConnected = channel.WaitForConnected(absl::ToChronoTime(connectDeadline));
        if (isConnected && !call.reactor->isCancelled())
            call.reactor->start(call.connection);
        else
            call.reactor->failUnsentCall(Reason::ConnectFailed);
    }

    Peer m_self;
    std::string m_meshSecret;
    ControlTrafficObserver &m_traffic;
    absl::Mutex m_mutex;
    absl::flat_hash_map<Address, std::shared_ptr<Connection>>
            m_connections ABSL_GUARDED_BY(m_mutex);
    std::deque<ConnectingCall> m_connectingCalls ABSL_GUARDED_BY(m_mutex);
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::vector<std::thread> m_connectorThreads;
};

} // namespace

std::unique_ptr<PeerClient> PeerClient::create(const Peer &self, std::string meshSecret,
                                               ControlTrafficObserver &traffic)
{
    return std::make_unique<GrpcPeerClient>(self, std::move(meshSecret), traffic);
}

} // namespace godwitlift
