/// \file
/// Event log written as key=value lines through Boost.Log.
#include "godwitlift/adapters/EventLog.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <algorithm>
#include <cctype>

namespace godwitlift {

namespace {

std::string &hostName()
{
    static std::string host;
    return host;
}

bool needsNoQuoting(const std::string &value)
{
    return !value.empty() && std::all_of(value.begin(), value.end(), [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0
               || std::string_view("._-:/+@~").find(c) != std::string_view::npos;
    });
}

std::string quote(const std::string &value)
{
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\')
            text += '\\';
        text += std::iscntrl(static_cast<unsigned char>(c)) != 0 ? ' ' : c;
    }
    return text + "\"";
}

} // namespace

void startEventLog(const std::string &host)
{
    hostName() = host;
    boost::log::add_console_log(std::clog,
                                boost::log::keywords::format = boost::log::expressions::stream
                                                               << boost::log::expressions::smessage,
                                boost::log::keywords::auto_flush = true);
}

std::string formatEvent(const LogEvent &event)
{
    std::string line = absl::StrCat("event=", event.name);
    for (const auto &[key, value] : event.fields)
        absl::StrAppend(&line, " ", key, "=", needsNoQuoting(value) ? value : quote(value));
    return line;
}

void logEvent(const LogEvent &event)
{
    const std::string time =
            absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(), absl::UTCTimeZone());
    BOOST_LOG_TRIVIAL(info) << "time=" << time << " node=" << hostName() << " "
                            << formatEvent(event);
}

} // namespace godwitlift
