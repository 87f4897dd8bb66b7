/// \file
/// gRPC server that receives messages and forwarded calls from peers.
#include "MeshMetadata.h"
#include "PeerCodec.h"
#include "godwitlift/adapters/ConstantTime.h"
#include "godwitlift/adapters/PeerTransport.h"
#include "peer.grpc.pb.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <grpcpp/grpcpp.h>

#include <atomic>
#include <deque>

namespace godwitlift {

namespace {

/// Answer bytes waiting for the network at which the sender is asked to pause.
constexpr std::size_t HighWatermarkBytes = 256U << 10U;
/// Answer bytes at which a batch is complete and queued for writing.
constexpr std::size_t BatchTargetBytes = 64U << 10U;

/// Streams the answer of one forwarded call to the peer. Batches are written in order, one at a
/// time. Frames that become ready together share a batch, since each message wakes the peer up
/// once.
///
/// Owned by its sink and, until OnDone(), by gRPC. Its lock is a leaf lock, except that gRPC is
/// called while it is held; the resume callback is called without it.
class AnswerStream final : public grpc::ServerWriteReactor<wire::AnswerBatch>
{
public:
    void write(wire::AnswerFrame frame, std::size_t bytes, bool isLast)
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_hasLastFrame)
            return;
        m_hasLastFrame = isLast;
        m_pendingBytes += bytes;
        m_openBatch.bytes += bytes;
        *m_openBatch.batch.add_frames() = std::move(frame);
        if (isLast || m_openBatch.bytes >= BatchTargetBytes)
            queueOpenBatch();
    }

    void flush()
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_openBatch.batch.frames_size() > 0)
            queueOpenBatch();
    }

    bool isReadyForMore(std::function<void()> resume)
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_pendingBytes < HighWatermarkBytes || m_cancelled)
            return true;
        m_resume = std::move(resume);
        return false;
    }

    bool isCancelled() const { return m_cancelled; }

    void OnWriteDone(bool ok) override
    {
        std::function<void()> resume;
        {
            const absl::MutexLock lock(&m_mutex);
            m_writing = false;
            m_pendingBytes -= m_batches.front().bytes;
            m_batches.pop_front();
            if (!ok)
                m_cancelled = true;
            if (m_cancelled)
                finishCancelled();
            else if (!m_batches.empty())
                writeNext();
            if (m_pendingBytes < HighWatermarkBytes || m_cancelled)
                std::swap(resume, m_resume);
        }
        if (resume)
            resume();
    }

    void OnCancel() override
    {
        std::function<void()> resume;
        {
            const absl::MutexLock lock(&m_mutex);
            m_cancelled = true;
            std::swap(resume, m_resume);
            if (!m_writing)
                finishCancelled();
        }
        if (resume)
            resume();
    }

    void OnDone() override { m_selfReference.reset(); }
    void keepAliveUntilDone(std::shared_ptr<AnswerStream> self)
    {
        m_selfReference = std::move(self);
    }

private:
    struct PendingBatch
    {
        wire::AnswerBatch batch;
        std::size_t bytes = 0;
    };

    void queueOpenBatch() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        m_batches.push_back(std::move(m_openBatch));
        m_openBatch = PendingBatch();
        if (!m_writing && !m_cancelled)
            writeNext();
    }

    void writeNext() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        m_writing = true;
        const wire::AnswerBatch &batch = m_batches.front().batch;
        if (m_hasLastFrame && m_batches.size() == 1 && !m_isStatusSent) {
            m_isStatusSent = true;
            StartWriteAndFinish(&batch, grpc::WriteOptions(), grpc::Status::OK);
        } else {
            StartWrite(&batch);
        }
    }

    void finishCancelled() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        m_hasLastFrame = true;
        if (m_isStatusSent)
            return;
        m_isStatusSent = true;
        Finish(grpc::Status::CANCELLED);
    }

    absl::Mutex m_mutex;
    PendingBatch m_openBatch ABSL_GUARDED_BY(m_mutex); ///< Collects frames until it is queued.
    std::deque<PendingBatch> m_batches ABSL_GUARDED_BY(m_mutex); ///< The front is being written.
    std::size_t m_pendingBytes ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_writing ABSL_GUARDED_BY(m_mutex) = false;
    bool m_hasLastFrame ABSL_GUARDED_BY(m_mutex) = false; ///< The last frame was added.
    bool m_isStatusSent ABSL_GUARDED_BY(m_mutex) = false; ///< The final status was passed to gRPC.
    std::function<void()> m_resume ABSL_GUARDED_BY(m_mutex);
    std::atomic<bool> m_cancelled = false;
    std::shared_ptr<AnswerStream> m_selfReference; ///< Keeps the stream alive until OnDone().
};

/// Answer sink that writes to a stream. If it is destroyed before the answer has ended, the peer is
/// told that the answer was lost.
class StreamSink final : public AnswerSink
{
public:
    StreamSink(std::shared_ptr<AnswerStream> stream, AttemptId attempt)
        : m_stream(std::move(stream))
        , m_attempt(attempt)
    {}
    StreamSink(const StreamSink &) = delete;
    StreamSink &operator=(const StreamSink &) = delete;
    ~StreamSink() override
    {
        AnswerRefusal lost;
        lost.attempt = m_attempt;
        lost.reason = Reason::AnswerLost;
        m_stream->write(toWire(lost), 0, true);
    }

    void onHead(AnswerHead head) override
    {
        head.attempt = m_attempt;
        m_stream->write(toWire(head), 0, false);
    }
    void onBody(std::string_view part) override
    {
        wire::AnswerFrame frame;
        frame.set_body(part.data(), part.size());
        m_stream->write(std::move(frame), part.size(), false);
    }
    void onEnd(const AnswerEnd &end) override { m_stream->write(toWire(end), 0, true); }
    void onRefusal(const AnswerRefusal &refusal) override
    {
        AnswerRefusal identifiedRefusal = refusal;
        identifiedRefusal.attempt = m_attempt;
        m_stream->write(toWire(identifiedRefusal), 0, true);
    }
    void flush() override { m_stream->flush(); }
    bool isReadyForMore(std::function<void()> resume) override
    {
        return m_stream->isReadyForMore(std::move(resume));
    }
    bool isCancelled() const override { return m_stream->isCancelled(); }

private:
    std::shared_ptr<AnswerStream> m_stream;
    AttemptId m_attempt;
};

/// Ends the stream of a refused peer with a status.
class RejectedStream final : public grpc::ServerWriteReactor<wire::AnswerBatch>
{
public:
    explicit RejectedStream(const grpc::Status &status) { Finish(status); }
    void OnDone() override { delete this; }
};

class PeerService final : public wire::Peer::CallbackService
{
public:
    PeerService(std::string meshSecret, PeerHandler &handler, ControlTrafficObserver &traffic)
        : m_meshSecret(std::move(meshSecret))
        , m_handler(handler)
        , m_traffic(traffic)
    {}

    grpc::ServerUnaryReactor *Deliver(grpc::CallbackServerContext *context,
                                      const wire::Envelope *envelope, wire::Ack *) override
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        if (!hasMeshSecret(*context)) {
            reactor->Finish(permissionDenied());
            return reactor;
        }
        const auto message = fromWire(*envelope);
        if (!message) {
            reactor->Finish({ grpc::StatusCode::INVALID_ARGUMENT,
                              "message of unknown kind or above the size limits" });
            return reactor;
        }
        m_traffic.onMessageReceived(kindName(*message), envelope->ByteSizeLong());
        m_handler.onMessage({ HostId(envelope->host()), Address(envelope->address()) }, *message);
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    grpc::ServerWriteReactor<wire::AnswerBatch> *Forward(grpc::CallbackServerContext *context,
                                                         const wire::CallRequest *request) override
    {
        if (!hasMeshSecret(*context))
            return new RejectedStream(permissionDenied());
        auto stream = std::make_shared<AnswerStream>();
        stream->keepAliveUntilDone(stream);
        ForwardedCall call = fromWire(*request);
        auto sink = std::make_shared<StreamSink>(stream, call.attempt);
        m_handler.onForwardedCall(std::move(call), std::move(sink));
        return stream.get();
    }

private:
    bool hasMeshSecret(const grpc::CallbackServerContext &context) const
    {
        const auto &metadata = context.client_metadata();
        const auto it = metadata.find(MeshSecretMetadataKey);
        return it != metadata.end()
               && equalsInConstantTime({ it->second.data(), it->second.size() }, m_meshSecret);
    }
    static grpc::Status permissionDenied()
    {
        return { grpc::StatusCode::PERMISSION_DENIED, "missing or wrong mesh secret" };
    }

    std::string m_meshSecret;
    PeerHandler &m_handler;
    ControlTrafficObserver &m_traffic;
};

class GrpcPeerServer final : public PeerServer
{
public:
    GrpcPeerServer(std::string meshSecret, PeerHandler &handler, ControlTrafficObserver &traffic)
        : m_service(std::move(meshSecret), handler, traffic)
    {}
    GrpcPeerServer(const GrpcPeerServer &) = delete;
    GrpcPeerServer &operator=(const GrpcPeerServer &) = delete;
    ~GrpcPeerServer() override { shutdown(absl::ZeroDuration()); }

    bool start(const Address &address)
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(address.value(), grpc::InsecureServerCredentials());
        builder.SetMaxReceiveMessageSize(MaxMessageBytes);
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.RegisterService(&m_service);
        m_server = builder.BuildAndStart();
        return m_server != nullptr;
    }

    void shutdown(absl::Duration grace) override
    {
        if (m_server == nullptr)
            return;
        m_server->Shutdown(absl::ToChronoTime(absl::Now() + grace));
        m_server->Wait();
        m_server.reset();
    }

private:
    PeerService m_service;
    std::unique_ptr<grpc::Server> m_server;
};

} // namespace

Result<std::unique_ptr<PeerServer>> PeerServer::listen(const Address &address,
                                                       std::string meshSecret, PeerHandler &handler,
                                                       ControlTrafficObserver &traffic)
{
    auto server = std::make_unique<GrpcPeerServer>(std::move(meshSecret), handler, traffic);
    if (!server->start(address))
        return makeInputError("listen.peers", "cannot listen on " + address.value());
    return std::unique_ptr<PeerServer>(std::move(server));
}

} // namespace godwitlift
