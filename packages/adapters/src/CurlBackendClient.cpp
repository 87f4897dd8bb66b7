/// \file
/// libcurl behind the BackendClient interface.
#include "godwitlift/adapters/BackendClient.h"

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
constexpr int PollMs = 10;
constexpr long IdleConnectionSeconds = 30;
constexpr std::size_t HeaderLimit = 128;
constexpr std::size_t WorkerLimit = 256;
constexpr int ServiceUnavailable = 503;

bool isHopByHop(const std::string &name)
{
    constexpr const char *Names[] = { "connection",     "keep-alive", "transfer-encoding", "te",
                                      "trailer",        "upgrade",    "proxy-connection",  "host",
                                      "content-length", "expect" };
    return std::any_of(std::begin(Names), std::end(Names),
                       [&](const char *other) { return absl::EqualsIgnoreCase(name, other); });
}

/// One request and its answer on one worker.
class Transfer final
{
public:
    Transfer(CURL *easy, BackendJob &job)
        : m_easy(easy)
        , m_job(job)
        , m_tracker(job.call.attempt, job.call.stallTimeout, absl::Now())
    {}
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;
    ~Transfer() { curl_slist_free_all(m_headers); }

    void prepare()
    {
        curl_easy_reset(m_easy);
        const std::string url = absl::StrCat("http://", m_job.address.value(), m_job.call.target);
        option(CURLOPT_URL, url.c_str());
        option(CURLOPT_CUSTOMREQUEST, m_job.call.method.c_str());
        if (absl::EqualsIgnoreCase(m_job.call.method, "HEAD"))
            option(CURLOPT_NOBODY, 1L);
        prepareBody();
        prepareHeaders();
        option(CURLOPT_PROXY, "");
        option(CURLOPT_PATH_AS_IS, 1L);
        option(CURLOPT_NOSIGNAL, 1L);
        option(CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
        option(CURLOPT_BUFFERSIZE, ReceiveBufferBytes);
        option(CURLOPT_TCP_KEEPALIVE, 1L);
        option(CURLOPT_TCP_NODELAY, 1L);
        option(CURLOPT_MAXAGE_CONN, IdleConnectionSeconds);
        // libcurl repeats a request by itself when a kept connection turns out to be closed. That
        // must not happen to one that may run only once, so it gets a connection of its own.
        if (m_job.call.runsAtMostOnce)
            option(CURLOPT_FRESH_CONNECT, 1L);
        option(CURLOPT_HEADERFUNCTION, &Transfer::headerCallback);
        option(CURLOPT_HEADERDATA, this);
        option(CURLOPT_WRITEFUNCTION, &Transfer::bodyCallback);
        option(CURLOPT_WRITEDATA, this);
    }

    /// Why the transfer should be ended before it completes, or None.
    Reason interruption(absl::Time now)
    {
        if (m_job.sink->isCancelled())
            return Reason::Cancelled;
        if (!m_headPassed && now >= m_job.deadline)
            return Reason::DeadlineExpired;
        return m_headPassed && !m_paused ? m_tracker.checkProgress(now) : Reason::None;
    }

    /// Nothing more came with the last read.
    void flush()
    {
        if (m_headPassed && !m_dropped)
            m_job.sink->flush();
    }

    void resumeIfWanted()
    {
        if (!m_paused || !m_wanted->exchange(false))
            return;
        m_paused = false;
        curl_easy_pause(m_easy, CURLPAUSE_CONT);
    }

    void finish(CURLcode code, Reason interrupted)
    {
        if (code == CURLE_OK && interrupted == Reason::None) {
            passHead();
            if (m_refusedByBackend)
                m_job.ended(RunOutcome::Shed, Reason::Shed, 0);
            else if (const Reason reason = m_tracker.onEnd(absl::Now()); reason != Reason::None)
                m_job.ended(RunOutcome::Failed, reason, m_tracker.receivedBytes());
            else
                m_job.ended(RunOutcome::Answered, Reason::None, m_tracker.receivedBytes());
            return;
        }
        long sentBytes = 0;
        curl_easy_getinfo(m_easy, CURLINFO_REQUEST_SIZE, &sentBytes);
        const bool connectFailed =
                code == CURLE_COULDNT_CONNECT
                || (sentBytes == 0
                    && (code == CURLE_OPERATION_TIMEDOUT || interrupted != Reason::None));
        if (connectFailed) {
            m_job.ended(RunOutcome::NotConnected,
                        interrupted == Reason::None ? Reason::ConnectFailed : interrupted, 0);
            return;
        }
        m_job.ended(RunOutcome::Failed,
                    interrupted == Reason::None ? failureReason(code) : interrupted,
                    m_tracker.receivedBytes());
    }

private:
    template<typename Value>
    void option(CURLoption name, Value value)
    {
        curl_easy_setopt(m_easy, name, value);
    }

    void prepareBody()
    {
        const bool hasBody = !m_job.call.body.empty()
                             || absl::EqualsIgnoreCase(m_job.call.method, "POST")
                             || absl::EqualsIgnoreCase(m_job.call.method, "PUT");
        if (!hasBody)
            return;
        option(CURLOPT_POSTFIELDS, m_job.call.body.data());
        option(CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_job.call.body.size()));
    }

    void addHeader(const std::string &name, const std::string &value)
    {
        const std::string line = value.empty() ? name + ";" : absl::StrCat(name, ": ", value);
        m_headers = curl_slist_append(m_headers, line.c_str());
    }

    void prepareHeaders()
    {
        for (const HttpHeader &header : m_job.call.headers) {
            if (!isHopByHop(header.name) && !absl::StartsWithIgnoreCase(header.name, "godwitlift-"))
                addHeader(header.name, header.value);
        }
        const absl::Duration left = std::max(absl::ZeroDuration(), m_job.deadline - absl::Now());
        addHeader("Godwitlift-Timeout-Ms", absl::StrCat(absl::ToInt64Milliseconds(left)));
        addHeader("Godwitlift-Rank", m_job.call.rank.value());
        addHeader("Godwitlift-Caller", m_job.call.caller.value());
        addHeader("Godwitlift-Retries-Left", absl::StrCat(m_job.call.retriesLeft));
        addHeader("Godwitlift-Request-Id", absl::StrCat(m_job.call.attempt.value()));
        m_headers = curl_slist_append(m_headers, "Expect:");
        option(CURLOPT_HTTPHEADER, m_headers);
    }

    static std::size_t headerCallback(char *data, std::size_t, std::size_t size, void *self)
    {
        static_cast<Transfer *>(self)->takeHeaderLine({ data, size });
        return size;
    }

    static std::size_t bodyCallback(char *data, std::size_t, std::size_t size, void *self)
    {
        return static_cast<Transfer *>(self)->takeBody({ data, size });
    }

    void takeHeaderLine(std::string_view line)
    {
        while (!line.empty() && (line.back() == '\r' || line.back() == '\n'))
            line.remove_suffix(1);
        if (line.starts_with("HTTP/")) { // A new head, after an interim one.
            m_head = AnswerHead();
            m_head.attempt = m_job.call.attempt;
            return;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos || m_head.headers.size() >= HeaderLimit)
            return;
        const std::string name(line.substr(0, colon));
        const std::string value(absl::StripAsciiWhitespace(std::string(line.substr(colon + 1))));
        noteHeader(name, value);
        if (!isHopByHop(name))
            m_head.headers.push_back({ name, value });
    }

    void noteHeader(const std::string &name, const std::string &value)
    {
        std::uint64_t number = 0;
        if (absl::EqualsIgnoreCase(name, "content-length") && absl::SimpleAtoi(value, &number))
            m_head.length = number;
        if (absl::EqualsIgnoreCase(name, "godwitlift-verdict"))
            m_notRunHeader = value == "not-run";
        if (absl::EqualsIgnoreCase(name, "godwitlift-request-id")
            && absl::SimpleAtoi(value, &number))
            m_head.attempt = AttemptId(number);
    }

    /// Passes the head on once; an answer to another request is dropped.
    bool passHead()
    {
        if (m_headPassed)
            return !m_dropped;
        m_headPassed = true;
        long status = 0;
        curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
        m_head.status = static_cast<int>(status);
        if (absl::EqualsIgnoreCase(m_job.call.method, "HEAD"))
            m_head.length.reset();
        m_refusedByBackend = m_notRunHeader && status == ServiceUnavailable;
        m_dropped = m_refusedByBackend
                    || m_tracker.onHead(m_head.attempt, m_head.length, absl::Now()) != Reason::None;
        if (!m_dropped)
            m_job.sink->head(m_head);
        return !m_dropped;
    }

    std::size_t takeBody(std::string_view part)
    {
        if (!passHead())
            return part.size();
        if (m_tracker.onBody(part.size(), absl::Now()) != Reason::None)
            return 0;
        if (!m_job.sink->wantsMore([wanted = m_wanted] { *wanted = true; })) {
            m_paused = true;
            m_tracker.rollBackBody(part.size());
            return CURL_WRITEFUNC_PAUSE;
        }
        m_job.sink->body(part);
        return part.size();
    }

    static Reason failureReason(CURLcode code)
    {
        return code == CURLE_PARTIAL_FILE || code == CURLE_RECV_ERROR || code == CURLE_WRITE_ERROR
                       ? Reason::AnswerTruncated
                       : Reason::AnswerLost;
    }

    CURL *m_easy;
    BackendJob &m_job;
    AnswerTracker m_tracker;
    AnswerHead m_head;
    curl_slist *m_headers = nullptr;
    bool m_headPassed = false;
    bool m_dropped = false;
    bool m_notRunHeader = false;
    bool m_refusedByBackend = false;
    bool m_paused = false;
    /// Shared with the sink, which may call back after the transfer has ended.
    std::shared_ptr<std::atomic<bool>> m_wanted = std::make_shared<std::atomic<bool>>(false);
};

/// One worker with its own connections.
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

    void run(BackendJob &job)
    {
        Transfer transfer(m_easy, job);
        transfer.prepare();
        curl_multi_add_handle(m_multi, m_easy);
        Reason interrupted = Reason::None;
        const CURLcode code = drive(transfer, interrupted);
        transfer.finish(code, interrupted);
        curl_multi_remove_handle(m_multi, m_easy);
    }

private:
    CURLcode drive(Transfer &transfer, Reason &interrupted)
    {
        while (true) {
            int running = 0;
            curl_multi_perform(m_multi, &running);
            int left = 0;
            while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
                if (message->msg == CURLMSG_DONE)
                    return message->data.result;
            }
            interrupted = transfer.interruption(absl::Now());
            if (interrupted != Reason::None)
                return CURLE_ABORTED_BY_CALLBACK;
            transfer.resumeIfWanted();
            transfer.flush();
            curl_multi_poll(m_multi, nullptr, 0, PollMs, nullptr);
        }
    }

    CURLM *m_multi;
    CURL *m_easy;
};

/// Lock order: its lock is a leaf; jobs run without it.
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
            m_arrived.SignalAll();
        }
        for (std::thread &thread : m_threads)
            thread.join();
    }

    void run(BackendJob job) override
    {
        const absl::MutexLock lock(&m_mutex);
        m_jobs.push_back(std::move(job));
        m_arrived.Signal();
    }

    void ensureWorkers(std::size_t count) override
    {
        const absl::MutexLock lock(&m_mutex);
        while (m_threads.size() < std::min(count, WorkerLimit) && !m_stopping)
            m_threads.emplace_back([this] { work(); });
    }

private:
    void work()
    {
        Worker worker;
        while (true) {
            BackendJob job;
            {
                const absl::MutexLock lock(&m_mutex);
                while (!m_stopping && m_jobs.empty())
                    m_arrived.Wait(&m_mutex);
                if (m_jobs.empty())
                    return;
                job = std::move(m_jobs.front());
                m_jobs.pop_front();
            }
            worker.run(job);
        }
    }

    absl::Mutex m_mutex;
    absl::CondVar
            m_arrived; ///< One job for one worker; a condition would be tried for all of them.
    std::deque<BackendJob> m_jobs ABSL_GUARDED_BY(m_mutex);
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::vector<std::thread> m_threads;
};

} // namespace

std::unique_ptr<BackendClient> BackendClient::create()
{
    return std::make_unique<CurlBackendClient>();
}

} // namespace godwitlift
