/// \file
/// Rows of quarantined requests.
#include "peers/QuarantineStore.h"

#include "godwitlift/base/AbslStringView.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <vector>

namespace godwitlift {

namespace {

/// Table of the store with a row for each quarantined request.
constexpr const char *QuarantineTable = "gl-quarantine";
/// Delay before a call that failed is repeated; the peers know the quarantines meanwhile.
constexpr absl::Duration RetryDelay = absl::Seconds(1);
/// Removed rows that are remembered, for the case that the store returns from a copy with them.
constexpr std::size_t MaxRemovedRows = 64;

std::string encodeNumber(std::uint64_t number)
{
    return absl::StrCat(absl::Hex(number, absl::kZeroPad16));
}

std::optional<std::uint64_t> decodeNumber(const std::string &text)
{
    std::uint64_t number = 0;
    if (!absl::SimpleHexAtoi(text, &number))
        return std::nullopt;
    return number;
}

/// What a row says.
struct QuarantineRecord
{
    std::vector<AgedCrash> crashes;
    std::optional<CrashTrial> latestTrial;
};

/// \p isTrial tells that the writer is to try the request now.
std::string encodeRow(const std::vector<AgedCrash> &crashes, bool isTrial)
{
    nlohmann::json processes = nlohmann::json::array();
    absl::Duration age = absl::InfiniteDuration();
    for (const AgedCrash &crash : crashes) {
        processes.push_back(encodeNumber(crash.crash.process.value()));
        age = std::min(age, crash.age);
    }
    nlohmann::json row{ { "processes", processes },
                        { "last_crash_ms", absl::ToUnixMillis(absl::Now() - age) } };
    if (isTrial) {
        row["trial_crashes"] = crashes.size();
        row["trial_ms"] = absl::ToUnixMillis(absl::Now());
    }
    return row.dump();
}

/// A clock that has been set back must not put an event into the future.
absl::Duration ageOf(std::int64_t unixMs)
{
    return std::max(absl::Now() - absl::FromUnixMillis(unixMs), absl::ZeroDuration());
}

/// Returns none for a row that is malformed or has another format.
std::optional<QuarantineRecord> decodeRow(const StoreRow &row)
{
    const auto content = decodeNumber(row.key);
    const auto value = nlohmann::json::parse(row.value, nullptr, false);
    if (!content || !value.is_object() || !value.contains("processes")
        || !value["processes"].is_array() || !value.contains("last_crash_ms")
        || !value["last_crash_ms"].is_number_integer())
        return std::nullopt;
    const absl::Duration age = ageOf(value["last_crash_ms"].get<std::int64_t>());
    QuarantineRecord record;
    for (const auto &entry : value["processes"]) {
        const auto process =
                entry.is_string() ? decodeNumber(entry.get<std::string>()) : std::nullopt;
        if (!process)
            return std::nullopt;
        record.crashes.push_back({ { ContentDigest(*content), ServerProcess(*process) }, age });
    }
    const auto trialCrashes = value.find("trial_crashes");
    const auto trialTime = value.find("trial_ms");
    if (trialCrashes != value.end() && trialCrashes->is_number_unsigned()
        && trialTime != value.end() && trialTime->is_number_integer())
        record.latestTrial = { trialCrashes->get<std::size_t>(),
                               ageOf(trialTime->get<std::int64_t>()) };
    return record;
}

} // namespace

QuarantineStore::QuarantineStore(asio::io_context &loop, StoreClient &store, CrashHistory &history,
                                 RateLimitedLog &log, NodeMetrics &metrics, RandomSource &random)
    : m_store(store)
    , m_history(history)
    , m_log(log)
    , m_metrics(metrics)
    , m_random(random)
    , m_timer(loop.get_executor())
{}

void QuarantineStore::start()
{
    readRows({});
}

void QuarantineStore::readRows(const std::string &firstKey)
{
    StoreRequest request;
    request.kind = StoreRequest::Kind::List;
    request.table = QuarantineTable;
    request.firstKey = firstKey;
    m_store.call(std::move(request), [this](const StoreAnswer &answer) { onRowsRead(answer); });
}

void QuarantineStore::onRowsRead(const StoreAnswer &answer)
{
    if (answer.outcome != StoreOutcome::Done) {
        retryLater();
        return;
    }
    for (const StoreRow &row : answer.rows)
        addRow(row);
    if (answer.hasMore && !answer.rows.empty()) {
        // Appending the smallest key character gives the first possible key after the last row.
        readRows(answer.rows.back().key + '!');
        return;
    }
    m_areRowsRead = true;
}

void QuarantineStore::addRow(const StoreRow &row)
{
    const auto record = decodeRow(row);
    if (!record) {
        logUnreadableRow(row.key);
        return;
    }
    const absl::Time now = steadyNow();
    for (const AgedCrash &crash : record->crashes)
        m_history.add(crash, now);
    if (record->crashes.empty())
        return;
    const ContentDigest content = record->crashes.front().crash.content;
    if (!m_history.isQuarantined(content, now)) {
        // A row whose trial may still be running keeps other nodes from another one.
        if (m_history.isTrialDue(content, record->latestTrial, now))
            remove(content);
        return;
    }
    m_log.write("quarantine-recalled",
                LogLine("quarantine-recalled")
                        .add("content", content.value())
                        .add("left_ms", m_history.quarantineLeft(content, now)),
                now);
}

void QuarantineStore::logUnreadableRow(const std::string &key)
{
    m_metrics.recordUndecodable("quarantine-row");
    m_log.write("quarantine-row-unreadable", LogLine("quarantine-row-unreadable").add("key", key),
                steadyNow());
}

void QuarantineStore::claimTrial(ContentDigest content, std::function<void(bool)> onDecided)
{
    StoreRequest request;
    request.kind = StoreRequest::Kind::List;
    request.table = QuarantineTable;
    request.firstKey = encodeNumber(content.value());
    request.endKey = request.firstKey + '!';
    m_store.call(std::move(request),
                 [this, content, onDecided = std::move(onDecided)](const StoreAnswer &answer) {
                     onTrialRowRead(content, answer, onDecided);
                 });
}

void QuarantineStore::onTrialRowRead(ContentDigest content, const StoreAnswer &answer,
                                     const std::function<void(bool)> &onDecided)
{
    if (answer.outcome != StoreOutcome::Done) {
        onDecided(false);
        return;
    }
    StoreRequest request;
    request.expectedRevision = 0; // The row must not exist.
    std::optional<CrashTrial> latestTrial;
    if (!answer.rows.empty()) {
        const StoreRow &row = answer.rows.front();
        request.expectedRevision = row.revision;
        if (const auto record = decodeRow(row)) {
            for (const AgedCrash &crash : record->crashes)
                m_history.add(crash, steadyNow());
            latestTrial = record->latestTrial;
        } else {
            logUnreadableRow(row.key);
        }
    }
    const absl::Time now = steadyNow();
    if (!m_history.isTrialDue(content, latestTrial, now)) {
        onDecided(false);
        return;
    }
    request.kind = StoreRequest::Kind::Put;
    request.table = QuarantineTable;
    request.key = encodeNumber(content.value());
    request.value = encodeRow(m_history.crashes(content, now), true);
    m_store.call(std::move(request), [this, content, onDecided](const StoreAnswer &written) {
        const bool isGranted = written.outcome == StoreOutcome::Done;
        m_log.write("crash-trial",
                    LogLine("crash-trial")
                            .add("content", content.value())
                            .add("granted", isGranted ? "yes" : "no")
                            .add("outcome", name(written.outcome)),
                    steadyNow());
        onDecided(isGranted);
    });
}

void QuarantineStore::save(ContentDigest content)
{
    if (!m_history.isQuarantined(content, steadyNow()))
        return;
    m_unsaved.insert(content);
    m_saved.insert(content);
    m_removed.erase(content);
    if (!m_isWriting)
        writeNext();
}

void QuarantineStore::onStoreReset()
{
    std::erase_if(m_saved, [this](ContentDigest content) {
        return !m_history.isQuarantined(content, steadyNow());
    });
    m_unsaved.insert(m_saved.begin(), m_saved.end());
    if (m_unsaved.empty() && m_removed.empty())
        return;
    expireAfter(m_timer, StoreResetSpread * m_random.uniformReal());
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        for (const ContentDigest content : m_removed)
            removeRow(content);
        continueWithStore();
    });
}

void QuarantineStore::writeNext()
{
    if (m_unsaved.empty())
        return;
    const ContentDigest content = *m_unsaved.begin();
    m_unsaved.erase(m_unsaved.begin());
    const std::vector<AgedCrash> crashes = m_history.crashes(content, steadyNow());
    if (crashes.empty()) { // An answer has cleared it meanwhile.
        writeNext();
        return;
    }
    m_isWriting = true;
    StoreRequest request;
    request.kind = StoreRequest::Kind::Put;
    request.table = QuarantineTable;
    request.key = encodeNumber(content.value());
    request.value = encodeRow(crashes, false);
    m_store.call(std::move(request),
                 [this, content](const StoreAnswer &answer) { onRowWritten(content, answer); });
}

void QuarantineStore::onRowWritten(ContentDigest content, const StoreAnswer &answer)
{
    m_isWriting = false;
    if (answer.outcome != StoreOutcome::Done) {
        m_unsaved.insert(content);
        retryLater();
        return;
    }
    writeNext();
}

void QuarantineStore::remove(ContentDigest content)
{
    m_unsaved.erase(content);
    m_saved.erase(content);
    if (m_removed.size() >= MaxRemovedRows)
        m_removed.erase(m_removed.begin());
    m_removed.insert(content);
    removeRow(content);
}

void QuarantineStore::removeRow(ContentDigest content)
{
    StoreRequest request;
    request.kind = StoreRequest::Kind::Remove;
    request.table = QuarantineTable;
    request.key = encodeNumber(content.value());
    // Not retried: a row that stays costs a node that starts one refusal until the next trial.
    m_store.call(std::move(request), [](const StoreAnswer &) {});
}

void QuarantineStore::retryLater()
{
    expireAfter(m_timer, RetryDelay * (0.5 + m_random.uniformReal()));
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            continueWithStore();
    });
}

void QuarantineStore::continueWithStore()
{
    if (!m_areRowsRead)
        readRows({});
    if (!m_isWriting)
        writeNext();
}

} // namespace godwitlift
