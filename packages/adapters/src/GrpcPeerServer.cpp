/// \file
/// gRPC server for messages and forwarded calls of peers.
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

/// Bytes of answer that may wait for the network before the sender is asked to pause.
constexpr std::size_t PendingLimitBytes = 256U << 10U;
/// Bytes of answer in one message.
constexpr std::size_t BatchLimitBytes = 64U << 10U;

/// Streams one answer back to the peer. Batches are written in order, one at a time; frames that
/// become ready together share one, since each message costs the peer a wake-up.
///
/// The stream is owned by its sink and by gRPC until OnDone(). Its lock is a leaf, except that gRPC
/// is entered while it is held; `resume` is called without it.
class AnswerStream final : public grpc::ServerWriteReactor<wire::AnswerBatch>
{
public:
    void write(wire::AnswerFrame frame, std::size_t bytes, bool isLast)
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_finishing)
            return;
        m_finishing = isLast;
        m_pendingBytes += bytes;
        m_open.bytes += bytes;
        *m_open.batch.add_frames() = std::move(frame);
        if (isLast || m_open.bytes >= BatchLimitBytes)
            closeBatch();
    }

    void flush()
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_open.batch.frames_size() > 0)
            closeBatch();
    }

    bool wantsMore(std::function<void()> resume)
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_pendingBytes < PendingLimitBytes || m_cancelled)
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
            if (m_pendingBytes < PendingLimitBytes || m_cancelled)
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

    void OnDone() override { m_self.reset(); }
    void keepAlive(std::shared_ptr<AnswerStream> self) { m_self = std::move(self); }

private:
    struct Pending
    {
        wire::AnswerBatch batch;
        std::size_t bytes = 0;
    };

    void closeBatch() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        m_batches.push_back(std::move(m_open));
        m_open = Pending();
        if (!m_writing && !m_cancelled)
            writeNext();
    }

    void writeNext() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        m_writing = true;
        const wire::AnswerBatch &batch = m_batches.front().batch;
        if (m_finishing && m_batches.size() == 1 && !m_finished) {
            m_finished = true;
            StartWriteAndFinish(&batch, grpc::WriteOptions(), grpc::Status::OK);
        } else {
            StartWrite(&batch);
        }
    }

    void finishCancelled() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        m_finishing = true;
        if (m_finished)
            return;
        m_finished = true;
        Finish(grpc::Status::CANCELLED);
    }

    absl::Mutex m_mutex;
    Pending m_open ABSL_GUARDED_BY(m_mutex);                ///< Takes frames until it is closed.
    std::deque<Pending> m_batches ABSL_GUARDED_BY(m_mutex); ///< The front one is being written.
    std::size_t m_pendingBytes ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_writing ABSL_GUARDED_BY(m_mutex) = false;
    bool m_finishing ABSL_GUARDED_BY(m_mutex) = false; ///< The last frame has come.
    bool m_finished ABSL_GUARDED_BY(m_mutex) = false;  ///< gRPC was told the status.
    std::function<void()> m_resume ABSL_GUARDED_BY(m_mutex);
    std::atomic<bool> m_cancelled = false;
    std::shared_ptr<AnswerStream> m_self; ///< Set until gRPC is done with the stream.
};

/// The sink of a stream. A sink that is dropped without an end reports the answer as lost.
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
        AnswerRefusal named = refusal;
        named.attempt = m_attempt;
        m_stream->write(toWire(named), 0, true);
    }
    void flush() override { m_stream->flush(); }
    bool isReadyForMore(std::function<void()> resume) override
    {
        return m_stream->wantsMore(std::move(resume));
    }
    bool isCancelled() const override { return m_stream->isCancelled(); }

private:
    std::shared_ptr<AnswerStream> m_stream;
    AttemptId m_attempt;
};

/// Ends a refused stream with a status.
class RefusedStream final : public grpc::ServerWriteReactor<wire::AnswerBatch>
{
public:
    explicit RefusedStream(const grpc::Status &status) { Finish(status); }
    void OnDone() override { delete this; }
};

class PeerService final : public wire::Peer::CallbackService
{
public:
    PeerService(std::string meshSecret, PeerHandler &handler, TrafficObserver &traffic)
        : m_meshSecret(std::move(meshSecret))
        , m_handler(handler)
        , m_traffic(traffic)
    {}

    grpc::ServerUnaryReactor *Deliver(grpc::CallbackServerContext *context,
                                      const wire::Envelope *envelope, wire::Ack *) override
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        if (!isPeer(*context)) {
            reactor->Finish(refusal());
            return reactor;
        }
        const auto message = fromWire(*envelope);
        if (!message) {
            reactor->Finish({ grpc::StatusCode::INVALID_ARGUMENT, "message not understood" });
            return reactor;
        }
        m_traffic.received(kindName(*message), envelope->ByteSizeLong());
        m_handler.messageArrived({ HostId(envelope->host()), Address(envelope->address()) },
                                 *message);
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    grpc::ServerWriteReactor<wire::AnswerBatch> *Forward(grpc::CallbackServerContext *context,
                                                         const wire::CallRequest *request) override
    {
        if (!isPeer(*context))
            return new RefusedStream(refusal());
        auto stream = std::make_shared<AnswerStream>();
        stream->keepAlive(stream);
        ForwardedCall call = fromWire(*request);
        auto sink = std::make_shared<StreamSink>(stream, call.attempt);
        m_handler.callArrived(std::move(call), std::move(sink));
        return stream.get();
    }

private:
    bool isPeer(const grpc::CallbackServerContext &context) const
    {
        const auto &metadata = context.client_metadata();
        const auto it = metadata.find(MeshSecretKey);
        return it != metadata.end()
               && equalsInConstantTime({ it->second.data(), it->second.size() }, m_meshSecret);
    }
    static grpc::Status refusal()
    {
        return { grpc::StatusCode::PERMISSION_DENIED, "not a peer of this mesh" };
    }

    std::string m_meshSecret;
    PeerHandler &m_handler;
    TrafficObserver &m_traffic;
};

class GrpcPeerServer final : public PeerServer
{
public:
    GrpcPeerServer(std::string meshSecret, PeerHandler &handler, TrafficObserver &traffic)
        : m_service(std::move(meshSecret), handler, traffic)
    {}
    GrpcPeerServer(const GrpcPeerServer &) = delete;
    GrpcPeerServer &operator=(const GrpcPeerServer &) = delete;
    ~GrpcPeerServer() override { shutdown(absl::ZeroDuration()); }

    bool start(const Address &address)
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(address.value(), grpc::InsecureServerCredentials());
        builder.SetMaxReceiveMessageSize(MessageLimitBytes);
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
                                                       TrafficObserver &traffic)
{
    auto server = std::make_unique<GrpcPeerServer>(std::move(meshSecret), handler, traffic);
    if (!server->start(address))
        return makeInputError("listen.peers", "cannot listen on " + address.value());
    return std::unique_ptr<PeerServer>(std::move(server));
}

} // namespace godwitlift
