/// \file
/// Decoding of log lines and the sentences of a verdict.
#include "godwitlift/explain/RequestStory.h"

#include "godwitlift/base/AbslStringView.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>

namespace godwitlift {

namespace {

/// Time by which the clocks of two hosts may differ.
constexpr absl::Duration ClockTolerance = absl::Milliseconds(500);
/// Time between the two lines that one lost link leaves on one node.
constexpr absl::Duration LossTolerance = absl::Milliseconds(100);

/// Events that change what a node believes about others or itself.
bool isCause(const std::string &event)
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
    };
    return Events.contains(event);
}

void insertByTime(std::vector<LogRecord> &records, LogRecord record)
{
    const auto at = std::upper_bound(
            records.begin(), records.end(), record,
            [](const LogRecord &a, const LogRecord &b) { return a.time < b.time; });
    records.insert(at, std::move(record));
}

std::string clock(absl::Time time)
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

void RequestStory::add(std::string_view line)
{
    auto record = decodeLogLine(line);
    if (!record)
        return;
    if (record->field("request") == m_requestId)
        insertByTime(m_lines, std::move(*record));
    else if (isCause(record->event))
        insertByTime(m_causes, std::move(*record));
}

const LogRecord *RequestStory::last(std::string_view event) const
{
    const auto it = std::find_if(m_lines.rbegin(), m_lines.rend(),
                                 [&](const LogRecord &record) { return record.event == event; });
    return it == m_lines.rend() ? nullptr : &*it;
}

const LogRecord *RequestStory::cause(std::string_view event, const std::string &node,
                                     const std::string &host, absl::Time from,
                                     absl::Time until) const
{
    const auto it = std::find_if(m_causes.rbegin(), m_causes.rend(), [&](const LogRecord &record) {
        return record.event == event && record.node == node && record.field("host") == host
               && record.time >= from && record.time <= until;
    });
    return it == m_causes.rend() ? nullptr : &*it;
}

absl::Time RequestStory::arrival() const
{
    absl::Time first = m_lines.front().time;
    for (const LogRecord &record : m_lines) {
        std::int64_t age = 0;
        for (const char *name : { "latency_ms", "age_ms" }) {
            if (absl::SimpleAtoi(record.field(name), &age))
                first = std::min(first, record.time - absl::Milliseconds(age));
        }
    }
    return first;
}

std::vector<LogRecord> RequestStory::timeLine() const
{
    std::vector<LogRecord> result = m_lines;
    if (m_lines.empty())
        return result;
    std::set<std::string> nodes;
    std::set<std::string> hosts;
    for (const LogRecord &record : m_lines) {
        nodes.insert(record.node);
        hosts.insert(record.field("host"));
    }
    hosts.erase("");
    const absl::Time from = arrival() - CauseWindow;
    const absl::Time until = m_lines.back().time + CauseWindow;
    for (const LogRecord &record : m_causes) {
        const bool isNear = record.time >= from && record.time <= until;
        const std::string about = record.field("host");
        const bool isOfHost = hosts.contains(record.node) && about.empty();
        const bool isOfNode =
                nodes.contains(record.node) && (about.empty() || hosts.contains(about));
        if (isNear && (isOfHost || isOfNode))
            insertByTime(result, record);
    }
    return result;
}

std::string RequestStory::causeOfLoss(const LogRecord &attempt) const
{
    const std::string host = attempt.field("host");
    if (const LogRecord *lost = cause("link-lost", attempt.node, host, attempt.time - LossTolerance,
                                      attempt.time + LossTolerance))
        return absl::StrCat(attempt.node, " lost its link to ", host, " (", lost->field("cause"),
                            ") at ", clock(lost->time), ".");
    if (const LogRecord *changed = cause("backend-server", host, "", attempt.time - ClockTolerance,
                                         attempt.time + ClockTolerance))
        return absl::StrCat("The backend server of ", host, " became ", changed->field("state"),
                            " (", changed->field("cause"), ") at ", clock(changed->time), ".");
    return absl::StrCat("The link to ", host,
                        " held: the backend server there cut its answer or closed its connection.");
}

std::string RequestStory::refusal(const LogRecord &end) const
{
    std::string text;
    if (const LogRecord *gate = last("gate-refused")) {
        text = absl::StrCat("The gate of ", gate->node, " had ", gate->field("running"), " of ",
                            gate->field("slots"), " slots in use and ", gate->field("queued"),
                            " requests waiting. ");
    } else if (end.field("reason") == "shed") {
        text = absl::StrCat("The backend server of ", end.field("host"),
                            " itself refused to run it. ");
    } else if (end.field("reason") == "no-backend-server") {
        text = "No host of the service took work. ";
        if (const LogRecord *started =
                    cause("start", end.node, "", end.time - CauseWindow, end.time))
            absl::StrAppend(&text, end.node, " had started at ", clock(started->time),
                            " and may not have reached the others yet. ");
    } else if (end.field("reason") == "no-configuration") {
        text = absl::StrCat(end.node, " held no configuration yet. ");
    }
    return absl::StrCat(text, "It has not run on any backend server.");
}

std::string RequestStory::failure(const LogRecord &end) const
{
    const LogRecord *attempt = last("attempt-failed");
    if (attempt == nullptr)
        return absl::StrCat("No attempt was logged; see the lines of ", end.field("host"), ".");
    return absl::StrCat("Its attempt at ", attempt->field("host"), " ended with ",
                        attempt->field("reason"), ". ", causeOfLoss(*attempt), " It ",
                        end.field("verdict") == "not-run" ? "has not run." : "may have run.");
}

std::string RequestStory::timeout(const LogRecord &end) const
{
    std::string text = absl::StrCat("Its time was up after ", end.field("latency_ms"),
                                    " ms while its attempt at ", end.field("host"), " was open.");
    const auto tries = std::count_if(m_lines.begin(), m_lines.end(), [](const LogRecord &record) {
        return record.event == "attempt-failed";
    });
    if (tries > 0)
        absl::StrAppend(&text, " Earlier attempts that failed: ", tries, ".");
    const LogRecord *changed =
            cause("configuration-in-force", end.node, "", arrival() - CauseWindow, end.time);
    if (changed != nullptr && changed->field("before") != "0")
        absl::StrAppend(&text, " Configuration ", changed->field("version"), " came into force at ",
                        clock(changed->time), " and may have changed the route's timeout.");
    if (const LogRecord *lost =
                cause("link-lost", end.node, end.field("host"), arrival(), end.time + CauseWindow))
        absl::StrAppend(&text, " The link to ", end.field("host"), " was found dead (",
                        lost->field("cause"), ") at ", clock(lost->time), ".");
    return text + " It may have run.";
}

std::string RequestStory::verdict() const
{
    if (m_lines.empty())
        return absl::StrCat("No line mentions request ", m_requestId, ".");
    const LogRecord *end = last("request-ended");
    if (end == nullptr)
        end = last("request-refused");
    if (end == nullptr) {
        const LogRecord &known = m_lines.back();
        std::string text =
                absl::StrCat("Request ", m_requestId, " has no final line. Its last one is ",
                             known.event, " of ", known.node, " at ", clock(known.time), ".");
        const auto stop =
                std::find_if(m_causes.begin(), m_causes.end(), [&](const LogRecord &record) {
                    return record.event == "start" && record.node == known.node
                           && record.time > known.time;
                });
        if (stop != m_causes.end())
            absl::StrAppend(&text, " ", known.node, " started again at ", clock(stop->time),
                            ": its process before that was lost with the request.");
        return text;
    }
    const std::string status = end->field("status");
    const std::string head =
            absl::StrCat("Request ", m_requestId, " ended at ", end->node, " with ",
                         status == "0" ? "no answer" : status, " (", end->field("reason"), "). ");
    if (status == "503" || end->event == "request-refused")
        return head + refusal(*end);
    if (status == "504")
        return head + timeout(*end);
    if (status == "502")
        return head + failure(*end);
    if (end->field("reason") == "cancelled")
        return head + "The client left before the answer.";
    return absl::StrCat(head, "The backend server of ", end->field("host"),
                        " answered: ", end->field("wait_ms"), " ms in the gate's queue, ",
                        end->field("service_ms"), " ms at the backend server, ",
                        end->field("latency_ms"), " ms in all.");
}

} // namespace godwitlift
