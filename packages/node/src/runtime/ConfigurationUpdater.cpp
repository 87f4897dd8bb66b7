/// \file
/// Reads configuration versions from the store and applies them.
#include "runtime/ConfigurationUpdater.h"

namespace godwitlift {

namespace {

/// A failed call older than this does not count as a failure of the store any more.
constexpr absl::Duration FailureValidity = absl::Seconds(5);

} // namespace

ConfigurationUpdater::ConfigurationUpdater(asio::io_context &loop, StoreClient &store,
                                           const PlatformProtocol &protocol, RandomSource &random,
                                           RateLimitedLog &log, NodeMetrics &metrics,
                                           AppliedCallback onApplied)
    : m_store(store)
    , m_protocol(protocol)
    , m_log(log)
    , m_metrics(metrics)
    , m_onApplied(std::move(onApplied))
    , m_watch(random)
    , m_timer(loop.get_executor())
{}

void ConfigurationUpdater::start(bool isFirstStart)
{
    m_nextRequest = m_watch.firstRequest(isFirstStart);
    m_mayDelegate = isFirstStart;
    scheduleRequest(m_nextRequest);
}

void ConfigurationUpdater::setWatching(bool isWatching)
{
    if (isWatching == m_isWatching)
        return;
    m_isWatching = isWatching;
    m_log.write("watching",
                LogLine("watching")
                        .add("active", isWatching ? "yes" : "no")
                        .add("version", version().value()),
                steadyNow());
    if (m_isWatching && (!m_isRequestPending || m_isDelegated))
        scheduleRequest(m_nextRequest);
}

bool ConfigurationUpdater::isStoreFailing() const
{
    return m_watch.isFailing() && steadyNow() - m_lastAnswerTime < FailureValidity;
}

void ConfigurationUpdater::scheduleRequest(const WatchRequest &watchRequest)
{
    m_isRequestPending = true;
    expireAfter(m_timer, watchRequest.delay);
    m_timer.async_wait([this, watchRequest](const boost::system::error_code &error) {
        if (error)
            return;
        if (!m_isWatching && version() != Version()) {
            m_isRequestPending = false;
            return;
        }
        if (!m_isWatching && m_mayDelegate) {
            // The watcher passes the configuration on; this is for the case that it cannot.
            m_mayDelegate = false;
            m_isDelegated = true;
            scheduleRequest(m_watch.delegatedRequest(watchRequest));
            return;
        }
        m_isDelegated = false;
        StoreRequest request;
        request.kind = watchRequest.isWatch ? StoreRequest::Kind::Watch : StoreRequest::Kind::List;
        request.table = m_protocol.configurationTable();
        request.afterRevision = watchRequest.afterRevision;
        request.watchTimeout = watchRequest.longPollTimeout;
        m_store.call(std::move(request),
                     [this, sent = steadyNow(), isWatch = watchRequest.isWatch](
                             const StoreAnswer &answer) { onStoreAnswer(answer, sent, isWatch); });
    });
}

void ConfigurationUpdater::logRead(const StoreAnswer &answer, absl::Duration waited, bool isWatch)
{
    if (answer.era != 0 && answer.era != m_storeEra) {
        m_log.write("store-era",
                    LogLine("store-era")
                            .add("before", m_storeEra)
                            .add("now", answer.era)
                            .add("revision", answer.revision),
                    steadyNow());
        m_storeEra = answer.era;
    }
    if (answer.outcome == StoreOutcome::Done && answer.rows.empty())
        return;
    m_log.write("configuration-read",
                LogLine("configuration-read")
                        .add("call", isWatch ? "watch" : "list")
                        .add("outcome", name(answer.outcome))
                        .add("waited_ms", waited)
                        .add("rows", answer.rows.size())
                        .add("revision", answer.revision)
                        .add("in_force", version().value()),
                steadyNow());
}

void ConfigurationUpdater::onStoreAnswer(const StoreAnswer &answer, absl::Time sent, bool isWatch)
{
    logRead(answer, steadyNow() - sent, isWatch);
    if (answer.outcome == StoreOutcome::Done)
        m_lastReadTime = steadyNow();
    const bool wasFailing = m_watch.isFailing();
    WatchResult result = WatchResult::Failed;
    if (answer.outcome == StoreOutcome::HistoryGone)
        result = WatchResult::HistoryGone;
    else if (answer.outcome == StoreOutcome::Done)
        result = answer.rows.empty() ? WatchResult::Unchanged : WatchResult::Changed;
    m_nextRequest = m_watch.onResult(result, answer.revision);
    m_mayDelegate = true;
    m_lastAnswerTime = steadyNow();
    if (wasFailing != m_watch.isFailing()) {
        m_log.write("store",
                    LogLine(m_watch.isFailing() ? "store-lost" : "store-regained")
                            .add("outcome", name(answer.outcome)),
                    steadyNow());
    }
    for (const StoreRow &row : answer.rows) {
        if (row.key == m_protocol.configurationKey() && !row.isDeleted)
            applyDocument(row.value);
    }
    scheduleRequest(m_nextRequest);
}

void ConfigurationUpdater::applyDocument(std::string_view document)
{
    std::string problem;
    const auto catalogue =
            valueOrErrorText([&] { return m_protocol.decodeConfiguration(document); }, problem);
    if (!catalogue) {
        m_metrics.recordUndecodable("configuration");
        m_log.write("configuration-refused",
                    LogLine("configuration-refused")
                            .add("source", "store")
                            .add("in_force", version().value())
                            .add("problem", problem),
                    steadyNow());
        return;
    }
    const Version previous = version();
    if (m_replica.applySnapshot(*catalogue) == ApplyResult::Applied)
        reportApplied(previous, "store");
}

bool ConfigurationUpdater::applyChanges(const ConfigurationChanges &changes,
                                        std::string_view source)
{
    const Version previous = version();
    const ApplyResult result = m_replica.applyChanges(changes);
    if (result == ApplyResult::Applied)
        reportApplied(previous, source);
    if (result == ApplyResult::Applied || result == ApplyResult::Stale)
        return true;
    m_log.write("configuration-refused",
                LogLine("configuration-refused")
                        .add("source", source)
                        .add("in_force", previous.value())
                        .add("base", changes.base.value())
                        .add("version", changes.version.value())
                        .add("problem", result == ApplyResult::Gap ? "gap" : "digest"),
                steadyNow());
    return false;
}

void ConfigurationUpdater::reportApplied(Version previous, std::string_view source)
{
    m_log.write("configuration-in-force",
                LogLine("configuration-in-force")
                        .add("version", version().value())
                        .add("before", previous.value())
                        .add("source", source)
                        .add("routes", m_replica.current()->routeCount()),
                steadyNow());
    m_onApplied(m_replica.current());
}

} // namespace godwitlift
