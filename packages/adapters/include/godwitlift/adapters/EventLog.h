/// \file
/// The log: one line of key=value pairs for each event.
#pragma once

#include "godwitlift/node/ControlEffects.h"

#include <string>
#include <string_view>

namespace godwitlift {

/// Sends log lines of every later event to standard error. \p host is named in each line.
void startEventLog(const std::string &host);

/// Writes one event. Thread-safe.
void logEvent(const LogEvent &event);

/// The fields as `key=value`, values with other characters than plain ones quoted and escaped.
std::string formatEvent(const LogEvent &event);

} // namespace godwitlift
