/// \file
/// Rate limits and writes that never wait.
#include "report/DecisionLog.h"

#include <absl/strings/escaping.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <cctype>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace godwitlift {

namespace {

bool isPlain(std::string_view value)
{
    return !value.empty() && std::all_of(value.begin(), value.end(), [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0
               || std::string_view("._-:/+@~,").find(c) != std::string_view::npos;
    });
}

} // namespace

void LogLine::appendText(std::string_view key, std::string_view value)
{
    if (isPlain(value))
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

bool DecisionLog::emit(const std::string &text)
{
    // A pipe with room for PIPE_BUF takes a line up to that size whole, without blocking.
    pollfd ready{ m_descriptor, POLLOUT, 0 };
    if (text.size() > PIPE_BUF || ::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
        return false;
    return ::write(m_descriptor, text.data(), text.size()) == static_cast<ssize_t>(text.size());
}

void DecisionLog::write(std::string_view kindName, const LogLine &line, absl::Time now)
{
    Kind &kind = m_kinds[toAbslStringView(kindName)];
    const std::int64_t second = absl::ToUnixSeconds(now);
    if (kind.second != second) {
        kind.second = second;
        kind.written = 0;
    }
    if (kind.written >= LinesPerSecond) {
        ++kind.suppressed;
        ++m_dropped;
        return;
    }
    ++kind.written;
    std::string text = absl::StrCat(
            "time=", absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(), absl::UTCTimeZone()),
            " node=", m_host, " ", line.text());
    if (kind.suppressed > 0)
        absl::StrAppend(&text, " suppressed=", kind.suppressed);
    text += '\n';
    if (emit(text))
        kind.suppressed = 0;
    else
        ++m_dropped;
}

} // namespace godwitlift
