/// \file
/// Structured log lines with a rate limit per kind, written without blocking.
#pragma once

#include "godwitlift/base/AbslStringView.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace godwitlift {

/// One line of key=value pairs under construction.
class LogLine final
{
public:
    explicit LogLine(std::string_view event) { appendText("event", event); }

    template<typename T>
    LogLine &add(std::string_view key, const T &value)
    {
        if constexpr (std::is_convertible_v<T, std::string_view>)
            appendText(key, value);
        else
            absl::StrAppend(&m_text, " ", toAbslStringView(key), "=", value);
        return *this;
    }
    /// Adds \p duration in milliseconds; the key should end in `_ms`.
    LogLine &add(std::string_view key, absl::Duration duration);

    const std::string &text() const { return m_text; }

private:
    void appendText(std::string_view key, std::string_view value);

    std::string m_text;
};

/// Writes lines to a file descriptor. A line is written completely or not at all: if the reader is
/// slow or the line is longer than PIPE_BUF, the line is dropped and counted. Not thread-safe.
class RateLimitedLog final
{
public:
    /// Lines of one kind that are written per second; further ones are dropped and counted.
    static constexpr std::uint32_t MaxLinesPerSecond = 40;

    RateLimitedLog(int descriptor, std::string host)
        : m_descriptor(descriptor)
        , m_host(std::move(host))
    {}

    /// Lines with the same \p kind, usually the event, share a rate limit.
    void write(std::string_view kind, const LogLine &line, absl::Time now);
    std::uint64_t droppedLineCount() const { return m_droppedLineCount; }

private:
    struct RateWindow
    {
        std::int64_t second = 0;
        std::uint32_t written = 0;
        std::uint64_t suppressed = 0; ///< Since the last line of the kind was written.
    };

    bool writeLine(const std::string &text);

    int m_descriptor;
    std::string m_host;
    absl::flat_hash_map<std::string, RateWindow> m_windows;
    std::uint64_t m_droppedLineCount = 0;
};

} // namespace godwitlift
