/// \file
/// Decodes log lines and writes the summary of a request.
#include "godwitlift/explain/RequestExplanation.h"

#include "godwitlift/base/AbslStringView.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>

namespace godwitlift {

namespace {

/// Largest expected clock skew between two hosts.
constexpr absl::Duration ClockTolerance = absl::Milliseconds(500);
/// Longest time between the log lines for a failed attempt and for the lost link that caused it.
constexpr absl::Duration LinkLossLogGap = absl::Milliseconds(100);

/// Whether \p event reports a change of a link, host, store or configuration that may explain how a
/// request ended.
bool isPossibleCause(const std::string &event)
{
    static const std::set<std::string> Events = {
        "link-lost",
        "link-opened",
        "backend-server",
        "stopping",
        "stop",
        "start",
        "configuration-in-force",
        "store-lost",
        "store-regained",
        "configuration-refused",
        "access-outdated",
        "access-current",
    };
    return Events.contains(event);
}

void insertByTime(std::vector<LogRecord> &records, LogRecord record)
{
    const auto position = std::upper_bound(
            records.begin(), records.end(), record,
            [](const LogRecord &a, const LogRecord &b) { return a.time < b.time; });
    records.insert(position, std::move(record));
}

std::string formatTimeOfDay(absl::Time time)
{
    return absl::FormatTime("%H:%M:%E3S", time, absl::UTCTimeZone());
}

} // namespace

std::string LogRecord::field(const std::string &name) const
{
    const auto it = fields.find(name);
    return it == fields.end() ? std::string() : it->second;
}

std::optional<LogRecord> decodeLogLine(std::string_view line)
{
    LogRecord record;
    record.text = std::string(line);
    bool hasTime = false;
    std::string_view rest = line;
    while (!rest.empty()) {
        const std::size_t equals = rest.find('=');
        if (equals == std::string_view::npos)
            break;
        const std::string key(rest.substr(0, equals));
        rest.remove_prefix(equals + 1);
        std::string value;
        if (rest.starts_with('"')) {
            rest.remove_prefix(1);
            const std::size_t end = rest.find('"');
            value = std::string(rest.substr(0, end));
            rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
        } else {
            const std::size_t end = rest.find(' ');
            value = std::string(rest.substr(0, end));
            rest.remove_prefix(end == std::string_view::npos ? rest.size() : end);
        }
        while (rest.starts_with(' '))
            rest.remove_prefix(1);
        if (key == "time")
            hasTime = absl::ParseTime(absl::RFC3339_full, value, &record.time, nullptr);
        else if (key == "node")
            record.node = value;
        else if (key == "event")
            record.event = value;
        else
            record.fields[key] = value;
    }
    if (!hasTime || record.node.empty() || record.event.empty())
        return std::nullopt;
    return record;
}

void RequestExplanation::addLine(std::string_view line)
{
    auto record = decodeLogLine(line);
    if (!record)
        return;
    if (record->field("request") == m_requestId)
        insertByTime(m_requestRecords, std::move(*record));
    else if (isPossibleCause(record->event))
        insertByTime(m_possibleCauses, std::move(*record));
}

const LogRecord *RequestExplanation::lastRecord(std::string_view event) const
{
    const auto it = std::find_if(m_requestRecords.rbegin(), m_requestRecords.rend(),
                                 [&](const LogRecord &record) { return record.event == event; });
    return it == m_requestRecords.rend() ? nullptr : &*it;
}

const LogRecord *RequestExplanation::findCause(std::string_view event, const std::string &node,
                                               const std::string &host, absl::Time from,
                                               absl::Time until) const
{
    const auto it = std::find_if(
            m_possibleCauses.rbegin(), m_possibleCauses.rend(), [&](const LogRecord &record) {
                return record.event == event && record.node == node && record.field("host") == host
                       && record.time >= from && record.time <= until;
            });
    return it == m_possibleCauses.rend() ? nullptr : &*it;
}

absl::Time RequestExplanation::arrival() const
{
    absl::Time first = m_requestRecords.front().time;
    for (const LogRecord &record : m_requestRecords) {
        std::int64_t age = 0;
        for (const char *name : { "latency_ms", "age_ms" }) {
            if (absl::SimpleAtoi(record.field(name), &age))
                first = std::min(first, record.time - absl::Milliseconds(age));
        }
    }
    return first;
}

std::vector<LogRecord> RequestExplanation::timeline() const
{
    std::vector<LogRecord> result = m_requestRecords;
    if (m_requestRecords.empty())
        return result;
    std::set<std::string> nodes;
    std::set<std::string> hosts;
    for (const LogRecord &record : m_requestRecords) {
        nodes.insert(record.node);
        hosts.insert(record.field("host"));
    }
    hosts.erase("");
    const absl::Time from = arrival() - CauseWindow;
    const absl::Time until = m_requestRecords.back().time + CauseWindow;
    for (const LogRecord &record : m_possibleCauses) {
        const bool isInWindow = record.time >= from && record.time <= until;
        const std::string subjectHost = record.field("host");
        const bool isFromInvolvedHost = hosts.contains(record.node) && subjectHost.empty();
        const bool isFromLoggingNode =
                nodes.contains(record.node) && (subjectHost.empty() || hosts.contains(subjectHost));
        if (isInWindow && (isFromInvolvedHost || isFromLoggingNode))
            insertByTime(result, record);
    }
    return result;
}

std::string RequestExplanation::explainLostAnswer(const LogRecord &attempt) const
{
    const std::string host = attempt.field("host");
    if (const LogRecord *lost =
                findCause("link-lost", attempt.node, host, attempt.time - LinkLossLogGap,
                          attempt.time + LinkLossLogGap))
        return absl::StrCat(attempt.node, " lost its link to ", host, " (", lost->field("cause"),
                            ") at ", formatTimeOfDay(lost->time), ".");
    if (const LogRecord *changed =
                findCause("backend-server", host, "", attempt.time - ClockTolerance,
                          attempt.time + ClockTolerance))
        return absl::StrCat("The backend server of ", host, " became ", changed->field("state"),
                            " (", changed->field("cause"), ") at ", formatTimeOfDay(changed->time),
                            ".");
    return absl::StrCat("The link to ", host,
                        " held: the backend server there cut its answer or closed its connection.");
}

std::string RequestExplanation::explainAdmission(const LogRecord &end) const
{
    const std::string reason = end.field("reason");
    const std::string account = end.field("account");
    if (reason == "unknown-key")
        return absl::StrCat("It presented no key, several, or one that no client account holds in "
                            "version ",
                            end.field("version"), " of ", end.node, ". ");
    if (reason == "access-outdated") {
        std::string text =
                absl::StrCat(end.node, " could not prove that its version ", end.field("version"),
                             " was new enough to know of revoked keys. ");
        if (const LogRecord *outdated =
                    findCause("access-outdated", end.node, "", end.time - CauseWindow, end.time))
            absl::StrAppend(&text, "That began at ", formatTimeOfDay(outdated->time), ", ",
                            outdated->field("proved_ms"), " ms after its last proof. ");
        return text;
    }
    if (reason == "quota-exceeded")
        return absl::StrCat("Its client account ", account, account.empty() ? "" : " ",
                            "had spent its quota. ");
    if (reason == "rollout-exposure")
        return "The version that is being rolled out had got the requests that it may get. ";
    if (reason == "input-budget")
        return absl::StrCat(end.node, " held as many bytes of unfinished requests as it may. ");
    if (reason == "link-busy")
        return absl::StrCat("The link of ", end.field("host"),
                            " could not carry its body in time. ");
    return {};
}

std::string RequestExplanation::explainRefusal(const LogRecord &end) const
{
    std::string text;
    if (const LogRecord *gate = lastRecord("gate-refused")) {
        text = absl::StrCat("The gate of ", gate->node, " had ", gate->field("running"), " of ",
                            gate->field("slots"), " slots in use and ", gate->field("queued"),
                            " requests waiting. ");
    } else if (end.field("reason") == "shed") {
        text = absl::StrCat("The backend server of ", end.field("host"),
                            " itself refused to run it. ");
    } else if (end.field("reason") == "no-backend-server") {
        text = "No host of the service took work. ";
        if (const LogRecord *started =
                    findCause("start", end.node, "", end.time - CauseWindow, end.time))
            absl::StrAppend(&text, end.node, " had started at ", formatTimeOfDay(started->time),
                            " and may not have reached the others yet. ");
    } else if (end.field("reason") == "no-configuration") {
        text = absl::StrCat(end.node, " held no configuration yet. ");
    } else {
        text = explainAdmission(end);
    }
    return absl::StrCat(text, "It has not run on any backend server.");
}

std::string RequestExplanation::explainFailure(const LogRecord &end) const
{
    const LogRecord *attempt = lastRecord("attempt-failed");
    if (attempt == nullptr)
        return absl::StrCat("No attempt was logged; see the lines of ", end.field("host"), ".");
    return absl::StrCat("Its attempt at ", attempt->field("host"), " ended with ",
                        attempt->field("reason"), ". ", explainLostAnswer(*attempt), " It ",
                        end.field("verdict") == "not-run" ? "has not run." : "may have run.");
}

std::string RequestExplanation::explainTimeout(const LogRecord &end) const
{
    std::string text = absl::StrCat("Its time was up after ", end.field("latency_ms"),
                                    " ms while its attempt at ", end.field("host"), " was open.");
    const auto failedAttempts =
            std::count_if(m_requestRecords.begin(), m_requestRecords.end(),
                          [](const LogRecord &record) { return record.event == "attempt-failed"; });
    if (failedAttempts > 0)
        absl::StrAppend(&text, " Earlier attempts that failed: ", failedAttempts, ".");
    const LogRecord *changed =
            findCause("configuration-in-force", end.node, "", arrival() - CauseWindow, end.time);
    if (changed != nullptr && changed->field("before") != "0")
        absl::StrAppend(&text, " Configuration ", changed->field("version"), " came into force at ",
                        formatTimeOfDay(changed->time),
                        " and may have changed the route's timeout.");
    if (const LogRecord *lost = findCause("link-lost", end.node, end.field("host"), arrival(),
                                          end.time + CauseWindow))
        absl::StrAppend(&text, " The link to ", end.field("host"), " was found dead (",
                        lost->field("cause"), ") at ", formatTimeOfDay(lost->time), ".");
    return text + " It may have run.";
}

std::string RequestExplanation::summary() const
{
    if (m_requestRecords.empty())
        return absl::StrCat("No line mentions request ", m_requestId, ".");
    const LogRecord *end = lastRecord("request-ended");
    if (end == nullptr)
        end = lastRecord("request-refused");
    if (end == nullptr) {
        const LogRecord &latest = m_requestRecords.back();
        std::string text = absl::StrCat(
                "Request ", m_requestId, " has no final line. Its last one is ", latest.event,
                " of ", latest.node, " at ", formatTimeOfDay(latest.time), ".");
        const auto restart = std::find_if(
                m_possibleCauses.begin(), m_possibleCauses.end(), [&](const LogRecord &record) {
                    return record.event == "start" && record.node == latest.node
                           && record.time > latest.time;
                });
        if (restart != m_possibleCauses.end())
            absl::StrAppend(&text, " ", latest.node, " started again at ",
                            formatTimeOfDay(restart->time),
                            ": its process before that was lost with the request.");
        return text;
    }
    const std::string status = end->field("status");
    const std::string prefix =
            absl::StrCat("Request ", m_requestId, " ended at ", end->node, " with ",
                         status == "0" ? "no answer" : status, " (", end->field("reason"), "). ");
    if (status == "503" || end->event == "request-refused")
        return prefix + explainRefusal(*end);
    if (status == "504")
        return prefix + explainTimeout(*end);
    if (status == "502")
        return prefix + explainFailure(*end);
    if (end->field("reason") == "cancelled")
        return prefix + "The client left before the answer.";
    return absl::StrCat(prefix, "The backend server of ", end->field("host"),
                        " answered: ", end->field("wait_ms"), " ms in the gate's queue, ",
                        end->field("service_ms"), " ms at the backend server, ",
                        end->field("latency_ms"), " ms in all.");
}

} // namespace godwitlift
