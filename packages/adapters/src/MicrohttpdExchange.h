/// \file
/// One HTTP request and its answer on a libmicrohttpd connection.
#pragma once

#include "godwitlift/adapters/HttpServer.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <microhttpd.h>

#include <algorithm>
#include <atomic>
#include <cstring>

namespace godwitlift {

/// Answer bytes buffered for a slow client at which the sender is asked to pause.
inline constexpr std::size_t HighWatermarkBytes = 256U << 10U;
/// Bytes passed to libmicrohttpd at a time.
inline constexpr std::size_t ReadBlockBytes = 64U << 10U;

using ResumeCallback = std::function<void()>;

/// One request on a connection. The mutex is a leaf in the lock order, except that libmicrohttpd's
/// suspend and resume functions are called while it is held; callbacks are called without it.
class MicrohttpdExchange final : public HttpExchange
{
public:
    MicrohttpdExchange(MHD_Connection *connection, std::atomic<std::size_t> &openExchangeCount)
        : m_connection(connection)
        , m_openExchangeCount(openExchangeCount)
    {}

    HttpRequest &mutableRequest() { return m_request; }
    const HttpRequest &request() const override { return m_request; }

    void respond(int status, std::vector<HttpHeader> headers, std::string body) override
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_started)
            return;
        m_contentLength = body.size();
        m_buffer = std::move(body);
        m_ended = true;
        startResponse(status, std::move(headers));
    }

    void beginAnswer(int status, std::vector<HttpHeader> headers,
                     std::optional<std::uint64_t> contentLength) override
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_started)
            return;
        m_contentLength = contentLength;
        startResponse(status, std::move(headers));
    }

    void writeBody(std::string_view part) override
    {
        const absl::MutexLock lock(&m_mutex);
        m_buffer.append(part);
        resumeConnection();
    }

    void endAnswer() override
    {
        const absl::MutexLock lock(&m_mutex);
        m_ended = true;
        resumeConnection();
    }

    void abortAnswer() override
    {
        const absl::MutexLock lock(&m_mutex);
        m_aborted = true;
        resumeConnection();
    }

    bool isReadyForMore(ResumeCallback resume) override
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_closed || m_buffer.size() - m_offset < HighWatermarkBytes)
            return true;
        m_resume = std::move(resume);
        return false;
    }

    void setDisconnectHandler(std::function<void()> disconnectHandler) override
    {
        const absl::MutexLock lock(&m_mutex);
        m_disconnectHandler = std::move(disconnectHandler);
    }

    /// Queues the answer if it has begun; otherwise suspends the connection, and libmicrohttpd
    /// calls the access handler again after it is resumed. Called on a server thread.
    MHD_Result queueOrSuspend(const std::shared_ptr<MicrohttpdExchange> &self)
    {
        const absl::MutexLock lock(&m_mutex);
        if (!m_started) {
            if (m_aborted)
                return MHD_NO;
            m_suspended = true;
            MHD_suspend_connection(m_connection);
            return MHD_YES;
        }
        auto *reference = new std::shared_ptr<MicrohttpdExchange>(self);
        MHD_Response *response = MHD_create_response_from_callback(
                m_contentLength ? *m_contentLength : MHD_SIZE_UNKNOWN, ReadBlockBytes,
                &MicrohttpdExchange::readCallback, reference, &MicrohttpdExchange::freeCallback);
        for (const HttpHeader &header : m_headers)
            MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
        const MHD_Result result =
                MHD_queue_response(m_connection, static_cast<unsigned>(m_status), response);
        MHD_destroy_response(response);
        return result;
    }

    /// \p isComplete is false if the client disconnected before it received the answer.
    void onRequestTerminated(bool isComplete)
    {
        std::function<void()> disconnectHandler;
        ResumeCallback resume;
        {
            const absl::MutexLock lock(&m_mutex);
            m_closed = true;
            m_connection = nullptr;
            if (!isComplete)
                std::swap(disconnectHandler, m_disconnectHandler);
            std::swap(resume, m_resume);
            m_disconnectHandler = nullptr;
        }
        --m_openExchangeCount;
        if (disconnectHandler)
            disconnectHandler();
        if (resume)
            resume();
    }

    bool isDispatched = false; ///< Used only on the server thread.
    bool isTooLarge = false;   ///< Used only on the server thread.

private:
    void startResponse(int status, std::vector<HttpHeader> headers)
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        m_status = status;
        m_headers = std::move(headers);
        m_started = true;
        resumeConnection();
    }

    void resumeConnection() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        if (!m_suspended || m_connection == nullptr)
            return;
        m_suspended = false;
        MHD_resume_connection(m_connection);
    }

    static ssize_t readCallback(void *context, std::uint64_t, char *buffer, std::size_t capacity)
    {
        return (*static_cast<std::shared_ptr<MicrohttpdExchange> *>(context))
                ->read(buffer, capacity);
    }

    static void freeCallback(void *context)
    {
        delete static_cast<std::shared_ptr<MicrohttpdExchange> *>(context);
    }

    ssize_t read(char *buffer, std::size_t capacity)
    {
        ResumeCallback resume;
        std::size_t count = 0;
        {
            const absl::MutexLock lock(&m_mutex);
            if (m_aborted)
                return MHD_CONTENT_READER_END_WITH_ERROR;
            count = std::min(capacity, m_buffer.size() - m_offset);
            if (count == 0) {
                if (m_ended)
                    return MHD_CONTENT_READER_END_OF_STREAM;
                m_suspended = true;
                MHD_suspend_connection(m_connection);
                return 0;
            }
            std::memcpy(buffer, m_buffer.data() + m_offset, count);
            m_offset += count;
            if (m_offset == m_buffer.size()) {
                m_buffer.clear();
                m_offset = 0;
            }
            if (m_buffer.size() - m_offset < HighWatermarkBytes)
                std::swap(resume, m_resume);
        }
        if (resume)
            resume();
        return static_cast<ssize_t>(count);
    }

    absl::Mutex m_mutex;
    MHD_Connection *m_connection; ///< Null after onRequestTerminated().
    std::atomic<std::size_t> &m_openExchangeCount;
    HttpRequest m_request;
    std::vector<HttpHeader> m_headers ABSL_GUARDED_BY(m_mutex);
    std::optional<std::uint64_t> m_contentLength ABSL_GUARDED_BY(m_mutex);
    std::string m_buffer ABSL_GUARDED_BY(m_mutex);
    /// Bytes of m_buffer that have been passed to libmicrohttpd.
    std::size_t m_offset ABSL_GUARDED_BY(m_mutex) = 0;
    int m_status ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_started ABSL_GUARDED_BY(m_mutex) = false;
    bool m_ended ABSL_GUARDED_BY(m_mutex) = false;
    bool m_aborted ABSL_GUARDED_BY(m_mutex) = false;
    bool m_suspended ABSL_GUARDED_BY(m_mutex) = false;
    bool m_closed ABSL_GUARDED_BY(m_mutex) = false;
    ResumeCallback m_resume ABSL_GUARDED_BY(m_mutex);
    std::function<void()> m_disconnectHandler ABSL_GUARDED_BY(m_mutex);
};

} // namespace godwitlift
