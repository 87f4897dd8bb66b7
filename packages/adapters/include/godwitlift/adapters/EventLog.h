/// \file
/// Event log with one line of key=value pairs per event.
#pragma once

#include "godwitlift/node/ControlEffects.h"

#include <string>
#include <string_view>

namespace godwitlift {

/// Starts writing events to standard error. Every line names \p host.
void startEventLog(const std::string &host);

/// Writes one event. Thread-safe.
void logEvent(const LogEvent &event);

/// Formats the event name and the fields as `key=value`. A value that is empty or has characters
/// other than letters, digits and `._-:/+@~` is quoted: quotes and backslashes are escaped, control
/// characters are replaced by spaces.
std::string formatEvent(const LogEvent &event);

} // namespace godwitlift
