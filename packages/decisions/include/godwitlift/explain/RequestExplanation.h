/// \file
/// Explains the outcome of one request from the log lines of several nodes.
#pragma once

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace godwitlift {

/// One decoded log line of a node.
struct LogRecord
{
    absl::Time time;
    std::string node;
    std::string event;
    std::map<std::string, std::string> fields; ///< All other fields, ordered by name.
    std::string text;                          ///< The line as it was written.

    /// Empty if the line has no such field.
    std::string field(const std::string &name) const;
};

/// Decodes a log line of a node; nullopt if the line has another format.
std::optional<LogRecord> decodeLogLine(std::string_view line);

/// Combines the log records about a request into a timeline and a summary. Not thread-safe.
class RequestExplanation final
{
public:
    /// Lines about hosts and configurations count as possible causes from this long before the
    /// request's arrival until this long after its end: an unresponsive link is detected
    /// within two seconds.
    static constexpr absl::Duration CauseWindow = absl::Seconds(3);

    explicit RequestExplanation(std::string requestId)
        : m_requestId(std::move(requestId))
    {}

    /// Adds a log line of any node. Lines that neither concern the request nor are a possible cause
    /// are ignored.
    void addLine(std::string_view line);
    bool hasRecords() const { return !m_requestRecords.empty(); }
    /// The records of the request and possible causes, ordered by time.
    std::vector<LogRecord> timeline() const;
    /// How the request ended and why, in a few sentences.
    std::string summary() const;

private:
    const LogRecord *lastRecord(std::string_view event) const;
    /// The latest \p event that \p node logged about \p host between \p from and \p until.
    const LogRecord *findCause(std::string_view event, const std::string &node,
                               const std::string &host, absl::Time from, absl::Time until) const;
    /// Arrival time of the request, estimated from the times and ages in its records.
    absl::Time arrival() const;
    std::string explainLostAnswer(const LogRecord &attempt) const;
    std::string explainRefusal(const LogRecord &end) const;
    /// Why the ingress did not admit the request; empty for other refusals.
    std::string explainAdmission(const LogRecord &end) const;
    std::string explainFailure(const LogRecord &end) const;
    std::string explainTimeout(const LogRecord &end) const;

    std::string m_requestId;
    std::vector<LogRecord> m_requestRecords; ///< Ordered by time.
    std::vector<LogRecord> m_possibleCauses; ///< Ordered by time; see isPossibleCause().
};

} // namespace godwitlift
