/// \file
/// Formats log lines, limits their rate and writes them without blocking.
#include "report/RateLimitedLog.h"

#include <absl/strings/escaping.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <cctype>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace godwitlift {

namespace {

bool needsNoQuotes(std::string_view value)
{
    return !value.empty() && std::all_of(value.begin(), value.end(), [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0
               || std::string_view("._-:/+@~,").find(c) != std::string_view::npos;
    });
}

} // namespace

void LogLine::appendText(std::string_view key, std::string_view value)
{
    if (needsNoQuotes(value))
        absl::StrAppend(&m_text, m_text.empty() ? "" : " ", toAbslStringView(key), "=",
                        toAbslStringView(value));
    else
        absl::StrAppend(&m_text, " ", toAbslStringView(key), "=\"",
                        absl::CHexEscape(toAbslStringView(value)), "\"");
}

LogLine &LogLine::add(std::string_view key, absl::Duration duration)
{
    if (duration == absl::InfiniteDuration())
        absl::StrAppend(&m_text, " ", toAbslStringView(key), "=inf");
    else
        absl::StrAppend(&m_text, " ", toAbslStringView(key), "=",
                        absl::ToInt64Milliseconds(duration));
    return *this;
}

bool RateLimitedLog::writeLine(const std::string &text)
{
    // A pipe that polls writable accepts PIPE_BUF bytes completely and without blocking.
    pollfd ready{ m_descriptor, POLLOUT, 0 };
    if (text.size() > PIPE_BUF || ::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
        return false;
    return ::write(m_descriptor, text.data(), text.size()) == static_cast<ssize_t>(text.size());
}

void RateLimitedLog::write(std::string_view kind, const LogLine &line, absl::Time now)
{
    RateWindow &window = m_windows[toAbslStringView(kind)];
    const std::int64_t second = absl::ToUnixSeconds(now);
    if (window.second != second) {
        window.second = second;
        window.written = 0;
    }
    if (window.written >= MaxLinesPerSecond) {
        ++window.suppressed;
        ++m_droppedLineCount;
        return;
    }
    ++window.written;
    std::string text = absl::StrCat(
            "time=", absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(), absl::UTCTimeZone()),
            " node=", m_host, " ", line.text());
    if (window.suppressed > 0)
        absl::StrAppend(&text, " suppressed=", window.suppressed);
    text += '\n';
    if (writeLine(text))
        window.suppressed = 0;
    else
        ++m_droppedLineCount;
}

} // namespace godwitlift
