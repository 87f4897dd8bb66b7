/// \file
/// Structured log lines on standard output: bounded per kind, never blocking.
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
    /// In milliseconds; the key should end in `_ms`.
    LogLine &add(std::string_view key, absl::Duration duration);

    const std::string &text() const { return m_text; }

private:
    void appendText(std::string_view key, std::string_view value);

    std::string m_text;
};

/// Writes lines to a descriptor. A line is written whole or not at all: if the reader is slow the
/// line is dropped and counted. Not thread-safe.
class DecisionLog final
{
public:
    /// Lines of one kind that are written in one second; the rest is counted.
    static constexpr std::uint32_t LinesPerSecond = 40;

    DecisionLog(int descriptor, std::string host)
        : m_descriptor(descriptor)
        , m_host(std::move(host))
    {}

    /// \p kind groups lines that share a limit, usually the event.
    void write(std::string_view kind, const LogLine &line, absl::Time now);
    std::uint64_t droppedLines() const { return m_dropped; }

private:
    struct Kind
    {
        std::int64_t second = 0;
        std::uint32_t written = 0;
        std::uint64_t suppressed = 0; ///< Since the last line of the kind.
    };

    bool emit(const std::string &text);

    int m_descriptor;
    std::string m_host;
    absl::flat_hash_map<std::string, Kind> m_kinds;
    std::uint64_t m_dropped = 0;
};

} // namespace godwitlift
