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

/// Answer bytes that may wait for a slow client before the sender is asked to pause.
inline constexpr std::size_t BufferLimitBytes = 256U << 10U;
/// Bytes handed to libmicrohttpd at a time.
inline constexpr std::size_t BlockBytes = 64U << 10U;

using Resume = std::function<void()>;

/// One request on a connection. Its lock is a leaf, except that libmicrohttpd's suspend and resume
/// are called while it is held; callbacks are called without it.
class MicrohttpdExchange final : public HttpExchange
{
public:
    MicrohttpdExchange(MHD_Connection *connection, std::atomic<std::size_t> &inProgress)
        : m_connection(connection)
        , m_inProgress(inProgress)
    {}

    HttpRequest &editableRequest() { return m_request; }
    const HttpRequest &request() const override { return m_request; }

    void respond(int status, std::vector<HttpHeader> headers, std::string body) override
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_started)
            return;
        m_length = body.size();
        m_buffer = std::move(body);
        m_ended = true;
        begin(status, std::move(headers));
    }

    void start(int status, std::vector<HttpHeader> headers,
               std::optional<std::uint64_t> length) override
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_started)
            return;
        m_length = length;
        begin(status, std::move(headers));
    }

    void write(std::string_view part) override
    {
        const absl::MutexLock lock(&m_mutex);
        m_buffer.append(part);
        wake();
    }

    void finish() override
    {
        const absl::MutexLock lock(&m_mutex);
        m_ended = true;
        wake();
    }

    void abort() override
    {
        const absl::MutexLock lock(&m_mutex);
        m_failed = true;
        wake();
    }

    bool wantsMore(Resume resume) override
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_closed || m_buffer.size() - m_offset < BufferLimitBytes)
            return true;
        m_resume = std::move(resume);
        return false;
    }

    void onClosed(std::function<void()> closed) override
    {
        const absl::MutexLock lock(&m_mutex);
        m_onClosed = std::move(closed);
    }

    /// Called on the server's thread until the head is there.
    MHD_Result queueOrSuspend(const std::shared_ptr<MicrohttpdExchange> &self)
    {
        const absl::MutexLock lock(&m_mutex);
        if (!m_started) {
            if (m_failed)
                return MHD_NO;
            m_suspended = true;
            MHD_suspend_connection(m_connection);
            return MHD_YES;
        }
        auto *reference = new std::shared_ptr<MicrohttpdExchange>(self);
        MHD_Response *response = MHD_create_response_from_callback(
                m_length ? *m_length : MHD_SIZE_UNKNOWN, BlockBytes, &MicrohttpdExchange::readBlock,
                reference, &MicrohttpdExchange::dropReference);
        for (const HttpHeader &header : m_headers)
            MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
        const MHD_Result result =
                MHD_queue_response(m_connection, static_cast<unsigned>(m_status), response);
        MHD_destroy_response(response);
        return result;
    }

    void connectionEnded(bool completed)
    {
        std::function<void()> closed;
        Resume resume;
        {
            const absl::MutexLock lock(&m_mutex);
            m_closed = true;
            m_connection = nullptr;
            if (!completed)
                std::swap(closed, m_onClosed);
            std::swap(resume, m_resume);
            m_onClosed = nullptr;
        }
        --m_inProgress;
        if (closed)
            closed();
        if (resume)
            resume();
    }

    bool isDispatched = false; ///< Used by the server's thread only.
    bool isTooLarge = false;   ///< Used by the server's thread only.

private:
    void begin(int status, std::vector<HttpHeader> headers) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        m_status = status;
        m_headers = std::move(headers);
        m_started = true;
        wake();
    }

    void wake() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        if (!m_suspended || m_connection == nullptr)
            return;
        m_suspended = false;
        MHD_resume_connection(m_connection);
    }

    static ssize_t readBlock(void *cls, std::uint64_t, char *buffer, std::size_t capacity)
    {
        return (*static_cast<std::shared_ptr<MicrohttpdExchange> *>(cls))->read(buffer, capacity);
    }

    static void dropReference(void *cls)
    {
        delete static_cast<std::shared_ptr<MicrohttpdExchange> *>(cls);
    }

    ssize_t read(char *buffer, std::size_t capacity)
    {
        Resume resume;
        std::size_t count = 0;
        {
            const absl::MutexLock lock(&m_mutex);
            if (m_failed)
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
            if (m_buffer.size() - m_offset < BufferLimitBytes)
                std::swap(resume, m_resume);
        }
        if (resume)
            resume();
        return static_cast<ssize_t>(count);
    }

    absl::Mutex m_mutex;
    MHD_Connection *m_connection; ///< Null once the connection has ended.
    std::atomic<std::size_t> &m_inProgress;
    HttpRequest m_request;
    std::vector<HttpHeader> m_headers ABSL_GUARDED_BY(m_mutex);
    std::optional<std::uint64_t> m_length ABSL_GUARDED_BY(m_mutex);
    std::string m_buffer ABSL_GUARDED_BY(m_mutex);
    std::size_t m_offset ABSL_GUARDED_BY(m_mutex) = 0; ///< Bytes of m_buffer already taken.
    int m_status ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_started ABSL_GUARDED_BY(m_mutex) = false;
    bool m_ended ABSL_GUARDED_BY(m_mutex) = false;
    bool m_failed ABSL_GUARDED_BY(m_mutex) = false;
    bool m_suspended ABSL_GUARDED_BY(m_mutex) = false;
    bool m_closed ABSL_GUARDED_BY(m_mutex) = false;
    Resume m_resume ABSL_GUARDED_BY(m_mutex);
    std::function<void()> m_onClosed ABSL_GUARDED_BY(m_mutex);
};

} // namespace godwitlift
