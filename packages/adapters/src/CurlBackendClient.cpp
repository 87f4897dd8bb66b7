/// \file
/// BackendClient implemented with libcurl.
#include "godwitlift/adapters/BackendClient.h"

#include "godwitlift/base/FieldSyntax.h"
#include "godwitlift/serving/AnswerTracker.h"

#include <absl/base/thread_annotations.h>
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <thread>

namespace godwitlift {

namespace {

constexpr long ConnectTimeoutMs = 500;
constexpr long ReceiveBufferBytes = 64L << 10U;
constexpr int PollIntervalMs = 10;
constexpr long MaxIdleConnectionSeconds = 30;
constexpr std::size_t MaxHeaderCount = 128;
constexpr std::size_t MaxWorkerCount = 256;
constexpr int ServiceUnavailable = 503;
/// Largest head of an answer, with the interim ones before it and its trailers.
constexpr std::size_t MaxHeadBytes = std::size_t(64) * 1024;
/// Body bytes that are read of an answer that is not forwarded, to reuse its connection.
constexpr std::size_t DiscardedBodyLimit = std::size_t(64) * 1024;
/// Bytes after the head that may be taken without the body growing. libcurl itself has no limit for
/// the line of a chunk size.
constexpr std::size_t MaxBytesWithoutProgress = std::size_t(256) * 1024;

bool isHopByHop(const std::string &name)
{
    constexpr const char *Names[] = { "connection",     "keep-alive", "transfer-encoding", "te",
                                      "trailer",        "upgrade",    "proxy-connection",  "host",
                                      "content-length", "expect" };
    return std::any_of(std::begin(Names), std::end(Names),
                       [&](const char *other) { return absl::EqualsIgnoreCase(name, other); });
}

/// One request and its answer, executed by one worker.
class Transfer final
{
public:
    Transfer(CURL *easy, BackendRequest &request)
        : m_easy(easy)
        , m_request(request)
        , m_tracker(request.call.attempt, request.call.stallTimeout, absl::Now())
    {}
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;
    ~Transfer() { curl_slist_free_all(m_requestHeaders); }

    void prepare()
    {
        curl_easy_reset(m_easy);
        const std::string url =
                absl::StrCat("http://", m_request.address.value(), m_request.call.target);
        setOption(CURLOPT_URL, url.c_str());
        setOption(CURLOPT_CUSTOMREQUEST, m_request.call.method.c_str());
        if (absl::EqualsIgnoreCase(m_request.call.method, "HEAD"))
            setOption(CURLOPT_NOBODY, 1L);
        prepareBody();
        prepareHeaders();
        setOption(CURLOPT_PROXY, "");
        setOption(CURLOPT_PATH_AS_IS, 1L);
        setOption(CURLOPT_NOSIGNAL, 1L);
        setOption(CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
        setOption(CURLOPT_BUFFERSIZE, ReceiveBufferBytes);
        setOption(CURLOPT_TCP_KEEPALIVE, 1L);
        setOption(CURLOPT_TCP_NODELAY, 1L);
        setOption(CURLOPT_MAXAGE_CONN, MaxIdleConnectionSeconds);
        // libcurl silently retries a request when a reused connection turns out to be closed. A
        // request that must run at most once therefore gets a fresh connection.
        if (m_request.call.runsAtMostOnce)
            setOption(CURLOPT_FRESH_CONNECT, 1L);
        setOption(CURLOPT_HEADERFUNCTION, &Transfer::headerCallback);
        setOption(CURLOPT_HEADERDATA, this);
        setOption(CURLOPT_WRITEFUNCTION, &Transfer::bodyCallback);
        setOption(CURLOPT_WRITEDATA, this);
        // While data is available, libcurl reads on without returning to the event loop.
        setOption(CURLOPT_NOPROGRESS, 0L);
        setOption(CURLOPT_XFERINFOFUNCTION, &Transfer::progressCallback);
        setOption(CURLOPT_XFERINFODATA, this);
        setOption(CURLOPT_VERBOSE, 1L); // For the debug callback, which prints nothing.
        setOption(CURLOPT_DEBUGFUNCTION, &Transfer::debugCallback);
        setOption(CURLOPT_DEBUGDATA, this);
    }

    /// Decides whether the transfer must be aborted, and returns why; None if it may continue.
    Reason checkForAbort(absl::Time now)
    {
        if (m_abortReason == Reason::None)
            m_abortReason = reasonToAbort(now);
        return m_abortReason;
    }

    /// Flushes the sink after all data that was available has been read.
    void flush()
    {
        if (m_isHeadComplete && !m_discardsAnswer)
            m_request.sink->flush();
    }

    void resumeIfReady()
    {
        if (!m_paused || !m_resumeRequested->exchange(false))
            return;
        m_paused = false;
        curl_easy_pause(m_easy, CURLPAUSE_CONT);
    }

    /// Calls `onEnded` of the request.
    void reportOutcome(CURLcode code)
    {
        // A transfer that was complete when it had to be aborted is complete.
        const Reason abortReason = code == CURLE_OK ? Reason::None : m_abortReason;
        if (code == CURLE_OK && abortReason == Reason::None)
            forwardHeadOnce();
        // The head of a refusal says all, whatever became of its body.
        if (m_refusedByBackend) {
            m_request.onEnded(RunOutcome::Shed, Reason::Shed, 0);
            return;
        }
        if (code == CURLE_OK && abortReason == Reason::None) {
            if (const Reason reason = m_tracker.onEnd(absl::Now()); reason != Reason::None)
                m_request.onEnded(RunOutcome::Failed, reason, m_tracker.receivedBytes());
            else
                m_request.onEnded(RunOutcome::Answered, Reason::None, m_tracker.receivedBytes());
            return;
        }
        long sentBytes = 0;
        curl_easy_getinfo(m_easy, CURLINFO_REQUEST_SIZE, &sentBytes);
        const bool isRequestUnsent =
                code == CURLE_COULDNT_CONNECT
                || (sentBytes == 0
                    && (code == CURLE_OPERATION_TIMEDOUT || abortReason != Reason::None));
        if (isRequestUnsent) {
            m_request.onEnded(RunOutcome::NotConnected,
                              abortReason == Reason::None ? Reason::ConnectFailed : abortReason, 0);
            return;
        }
        m_request.onEnded(RunOutcome::Failed,
                          abortReason == Reason::None ? failureReason(code) : abortReason,
                          m_tracker.receivedBytes());
    }

private:
    Reason reasonToAbort(absl::Time now)
    {
        if (m_request.sink->isCancelled())
            return Reason::Cancelled;
        if (!m_isHeadComplete && now >= m_request.deadline)
            return Reason::DeadlineExpired;
        if (m_bytesWithoutProgress > MaxBytesWithoutProgress)
            return Reason::AnswerMismatched;
        return m_isHeadComplete && !m_paused ? m_tracker.checkProgress(now) : Reason::None;
    }

    template<typename Value>
    void setOption(CURLoption name, Value value)
    {
        curl_easy_setopt(m_easy, name, value);
    }

    void prepareBody()
    {
        const bool hasBody = !m_request.call.body.empty()
                             || absl::EqualsIgnoreCase(m_request.call.method, "POST")
                             || absl::EqualsIgnoreCase(m_request.call.method, "PUT");
        if (!hasBody)
            return;
        setOption(CURLOPT_POSTFIELDS, m_request.call.body.data());
        setOption(CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_request.call.body.size()));
    }

    void addHeader(const std::string &name, const std::string &value)
    {
        const std::string line = value.empty() ? name + ";" : absl::StrCat(name, ": ", value);
        m_requestHeaders = curl_slist_append(m_requestHeaders, line.c_str());
    }

    void prepareHeaders()
    {
        for (const HttpHeader &header : m_request.call.headers) {
            if (!isHopByHop(header.name) && !absl::StartsWithIgnoreCase(header.name, "godwitlift-"))
                addHeader(header.name, header.value);
        }
        const absl::Duration timeLeft =
                std::max(absl::ZeroDuration(), m_request.deadline - absl::Now());
        addHeader("Godwitlift-Timeout-Ms", absl::StrCat(absl::ToInt64Milliseconds(timeLeft)));
        addHeader("Godwitlift-Rank", m_request.call.rank.value());
        addHeader("Godwitlift-Caller", m_request.call.caller.value());
        addHeader("Godwitlift-Retries-Left", absl::StrCat(m_request.call.retriesLeft));
        addHeader("Godwitlift-Request-Id", absl::StrCat(m_request.call.attempt.value()));
        m_requestHeaders = curl_slist_append(m_requestHeaders, "Expect:");
        setOption(CURLOPT_HTTPHEADER, m_requestHeaders);
    }

    static int progressCallback(void *self, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
    {
        // A value other than 0 aborts the transfer.
        return static_cast<Transfer *>(self)->checkForAbort(absl::Now()) == Reason::None ? 0 : 1;
    }

    /// Counts the bytes after the head before libcurl decodes chunks.
    static int debugCallback(CURL *, curl_infotype type, char *, std::size_t size, void *self)
    {
        if (type == CURLINFO_DATA_IN)
            static_cast<Transfer *>(self)->m_bytesWithoutProgress += size;
        return 0;
    }

    static std::size_t headerCallback(char *data, std::size_t, std::size_t size, void *self)
    {
        // A part of the line aborts the transfer.
        return static_cast<Transfer *>(self)->onHeaderLine({ data, size }) ? size : 0;
    }

    static std::size_t bodyCallback(char *data, std::size_t, std::size_t size, void *self)
    {
        return static_cast<Transfer *>(self)->onBodyPart({ data, size });
    }

    /// Returns false for a line that other readers may interpret differently, and beyond the limit.
    bool onHeaderLine(std::string_view line)
    {
        m_headBytes += line.size();
        if (m_headBytes > MaxHeadBytes) {
            m_isGarbled = true;
            return false;
        }
        if (m_isHeadComplete || line == "\r\n") // Trailers are not forwarded.
            return true;
        if (line.starts_with("HTTP/")) { // A new head; an interim response may have come before it.
            m_head = AnswerHead();
            m_head.attempt = m_request.call.attempt;
            m_isGarbled = !line.ends_with("\r\n") || !isFieldText(line.substr(0, line.size() - 2));
            return !m_isGarbled;
        }
        std::string_view nameText;
        std::string_view valueText;
        m_isGarbled = !takeFieldLine(line, nameText, valueText) || !line.empty();
        if (m_isGarbled)
            return false;
        if (m_head.headers.size() >= MaxHeaderCount)
            return true;
        const std::string name(nameText);
        const std::string value(absl::StripAsciiWhitespace(std::string(valueText)));
        evaluateHeader(name, value);
        if (!isHopByHop(name))
            m_head.headers.push_back({ name, value });
        return true;
    }

    void evaluateHeader(const std::string &name, const std::string &value)
    {
        std::uint64_t number = 0;
        if (absl::EqualsIgnoreCase(name, "content-length") && absl::SimpleAtoi(value, &number))
            m_head.contentLength = number;
        if (absl::EqualsIgnoreCase(name, "godwitlift-verdict"))
            m_hasNotRunVerdict = value == "not-run";
        if (absl::EqualsIgnoreCase(name, "godwitlift-request-id")
            && absl::SimpleAtoi(value, &number))
            m_head.attempt = AttemptId(number);
    }

    /// Forwards the head at its first call. Returns whether the body is to be forwarded as well; a
    /// refusal and an answer to another request are discarded.
    bool forwardHeadOnce()
    {
        if (m_isHeadComplete)
            return !m_discardsAnswer;
        m_isHeadComplete = true;
        long status = 0;
        curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
        m_head.status = static_cast<int>(status);
        if (absl::EqualsIgnoreCase(m_request.call.method, "HEAD"))
            m_head.contentLength.reset();
        m_refusedByBackend = m_hasNotRunVerdict && status == ServiceUnavailable;
        m_discardsAnswer = m_refusedByBackend
                           || m_tracker.onHead(m_head.attempt, m_head.contentLength, absl::Now())
                                      != Reason::None;
        if (!m_discardsAnswer)
            m_request.sink->onHead(m_head);
        return !m_discardsAnswer;
    }

    std::size_t onBodyPart(std::string_view part)
    {
        if (!forwardHeadOnce()) {
            m_discardedBytes += part.size();
            return m_discardedBytes > DiscardedBodyLimit ? 0 : part.size();
        }
        m_bytesWithoutProgress = 0;
        if (m_tracker.onBody(part.size(), absl::Now()) != Reason::None)
            return 0;
        if (!m_request.sink->isReadyForMore(
                    [resumeRequested = m_resumeRequested] { *resumeRequested = true; })) {
            m_paused = true;
            m_tracker.rollBackBody(part.size());
            return CURL_WRITEFUNC_PAUSE;
        }
        m_request.sink->onBody(part);
        return part.size();
    }

    Reason failureReason(CURLcode code) const
    {
        // libcurl reports bytes that are not HTTP, and a header line beyond its limit, by these
        // codes.
        const bool isNoAnswer = code == CURLE_UNSUPPORTED_PROTOCOL
                                || code == CURLE_WEIRD_SERVER_REPLY || code == CURLE_OUT_OF_MEMORY;
        if (m_isGarbled || m_discardsAnswer || isNoAnswer)
            return Reason::AnswerMismatched;
        return code == CURLE_PARTIAL_FILE || code == CURLE_RECV_ERROR || code == CURLE_WRITE_ERROR
                       ? Reason::AnswerTruncated
                       : Reason::AnswerLost;
    }

    CURL *m_easy;
    BackendRequest &m_request;
    AnswerTracker m_tracker;
    AnswerHead m_head;
    Reason m_abortReason = Reason::None;
    curl_slist *m_requestHeaders = nullptr;
    bool m_isHeadComplete = false;
    bool m_isGarbled = false; ///< The head or its trailers are not well-formed.
    std::size_t m_headBytes = 0;
    std::size_t m_discardedBytes = 0;
    std::size_t m_bytesWithoutProgress = 0;
    bool m_discardsAnswer = false;
    bool m_hasNotRunVerdict = false;
    bool m_refusedByBackend = false;
    bool m_paused = false;
    /// Shared with the resume callback, which the sink may call after the transfer has ended.
    std::shared_ptr<std::atomic<bool>> m_resumeRequested =
            std::make_shared<std::atomic<bool>>(false);
};

/// Executes requests one at a time over connections of its own.
class Worker final
{
public:
    Worker()
        : m_multi(curl_multi_init())
        , m_easy(curl_easy_init())
    {}
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;
    ~Worker()
    {
        curl_easy_cleanup(m_easy);
        curl_multi_cleanup(m_multi);
    }

    void execute(BackendRequest &request)
    {
        Transfer transfer(m_easy, request);
        transfer.prepare();
        curl_multi_add_handle(m_multi, m_easy);
        transfer.reportOutcome(runEventLoop(transfer));
        curl_multi_remove_handle(m_multi, m_easy);
    }

private:
    /// Polls until the transfer completes or must be aborted.
    CURLcode runEventLoop(Transfer &transfer)
    {
        while (true) {
            int running = 0;
            curl_multi_perform(m_multi, &running);
            int messagesLeft = 0;
            while (const CURLMsg *message = curl_multi_info_read(m_multi, &messagesLeft)) {
                if (message->msg == CURLMSG_DONE)
                    return message->data.result;
            }
            if (transfer.checkForAbort(absl::Now()) != Reason::None)
                return CURLE_ABORTED_BY_CALLBACK;
            transfer.resumeIfReady();
            transfer.flush();
            curl_multi_poll(m_multi, nullptr, 0, PollIntervalMs, nullptr);
        }
    }

    CURLM *m_multi;
    CURL *m_easy;
};

/// Lock order: the mutex is a leaf and is not held while a request is executed.
class CurlBackendClient final : public BackendClient
{
public:
    CurlBackendClient() { curl_global_init(CURL_GLOBAL_DEFAULT); }
    CurlBackendClient(const CurlBackendClient &) = delete;
    CurlBackendClient &operator=(const CurlBackendClient &) = delete;
    ~CurlBackendClient() override
    {
        {
            const absl::MutexLock lock(&m_mutex);
            m_stopping = true;
            m_requestQueued.SignalAll();
        }
        for (std::thread &thread : m_threads)
            thread.join();
    }

    void submit(BackendRequest request) override
    {
        const absl::MutexLock lock(&m_mutex);
        m_requests.push_back(std::move(request));
        m_requestQueued.Signal();
    }

    void ensureWorkers(std::size_t count) override
    {
        const absl::MutexLock lock(&m_mutex);
        while (m_threads.size() < std::min(count, MaxWorkerCount) && !m_stopping)
            m_threads.emplace_back([this] { runWorker(); });
    }

private:
    void runWorker()
    {
        Worker worker;
        while (true) {
            BackendRequest request;
            {
                const absl::MutexLock lock(&m_mutex);
                while (!m_stopping && m_requests.empty())
                    m_requestQueued.Wait(&m_mutex);
                if (m_requests.empty())
                    return;
                request = std::move(m_requests.front());
                m_requests.pop_front();
            }
            worker.execute(request);
        }
    }

    absl::Mutex m_mutex;
    /// Wakes one worker for each request. An absl::Condition would be evaluated for every waiting
    /// worker.
    absl::CondVar m_requestQueued;
    std::deque<BackendRequest> m_requests ABSL_GUARDED_BY(m_mutex);
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::vector<std::thread> m_threads;
};

} // namespace

std::unique_ptr<BackendClient> BackendClient::create()
{
    return std::make_unique<CurlBackendClient>();
}

} // namespace godwitlift
