/// \file
/// Taking versions into force.
#include "runtime/ConfigurationKeeper.h"

namespace godwitlift {

namespace {

/// Time after which an unanswered call says nothing about the store any more.
constexpr absl::Duration FailureMemory = absl::Seconds(5);

} // namespace

ConfigurationKeeper::ConfigurationKeeper(asio::io_context &loop, StoreClient &store,
                                         const PlatformProtocol &protocol, RandomSource &random,
                                         RateLimitedLog &log, NodeMetrics &metrics, InForce inForce)
    : m_store(store)
    , m_protocol(protocol)
    , m_log(log)
    , m_metrics(metrics)
    , m_inForce(std::move(inForce))
    , m_watch(random)
    , m_timer(loop.get_executor())
{}

void ConfigurationKeeper::start()
{
    m_next = m_watch.firstRequest();
    ask(m_next);
}

void ConfigurationKeeper::setWatching(bool isWatching)
{
    if (isWatching == m_isWatching)
        return;
    m_isWatching = isWatching;
    m_log.write("watching",
                LogLine("watching")
                        .add("active", isWatching ? "yes" : "no")
                        .add("version", version().value()),
                steadyNow());
    if (m_isWatching && !m_isAsking)
        ask(m_next);
}

bool ConfigurationKeeper::isStoreFailing() const
{
    return m_watch.isFailing() && steadyNow() - m_lastAnswer < FailureMemory;
}

void ConfigurationKeeper::ask(const WatchRequest &step)
{
    m_isAsking = true;
    expireAfter(m_timer, step.delay);
    m_timer.async_wait([this, step](const boost::system::error_code &error) {
        if (error)
            return;
        // Without a configuration the node reads on, whoever else watches.
        if (!m_isWatching && version() != Version()) {
            m_isAsking = false;
            return;
        }
        StoreRequest request;
        request.kind = step.isWatch ? StoreRequest::Kind::Watch : StoreRequest::Kind::List;
        request.table = m_protocol.configurationTable();
        request.afterRevision = step.afterRevision;
        request.watchTimeout = step.longPollTimeout;
        m_store.call(std::move(request), [this](const StoreAnswer &answer) { answered(answer); });
    });
}

void ConfigurationKeeper::answered(const StoreAnswer &answer)
{
    const bool wasFailing = m_watch.isFailing();
    WatchResult result = WatchResult::Failed;
    if (answer.outcome == StoreOutcome::HistoryGone)
        result = WatchResult::HistoryGone;
    else if (answer.outcome == StoreOutcome::Done)
        result = answer.rows.empty() ? WatchResult::Unchanged : WatchResult::Changed;
    m_next = m_watch.onResult(result, answer.revision);
    m_lastAnswer = steadyNow();
    if (wasFailing != m_watch.isFailing()) {
        m_log.write("store",
                    LogLine(m_watch.isFailing() ? "store-lost" : "store-regained")
                            .add("outcome", name(answer.outcome)),
                    steadyNow());
    }
    for (const StoreRow &row : answer.rows) {
        if (row.key == m_protocol.configurationKey() && !row.isDeleted)
            offer(row.value);
    }
    ask(m_next);
}

void ConfigurationKeeper::offer(std::string_view text)
{
    std::string problem;
    const auto catalogue =
            valueOrErrorText([&] { return m_protocol.decodeConfiguration(text); }, problem);
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
    const Version before = version();
    if (m_replica.applySnapshot(*catalogue) == ApplyResult::Applied)
        announce(before, "store");
}

bool ConfigurationKeeper::accept(const ConfigurationChanges &changes, std::string_view source)
{
    const Version before = version();
    const ApplyResult result = m_replica.applyChanges(changes);
    if (result == ApplyResult::Applied)
        announce(before, source);
    if (result == ApplyResult::Applied || result == ApplyResult::Stale)
        return true;
    m_log.write("configuration-refused",
                LogLine("configuration-refused")
                        .add("source", source)
                        .add("in_force", before.value())
                        .add("base", changes.base.value())
                        .add("version", changes.version.value())
                        .add("problem", result == ApplyResult::Gap ? "gap" : "digest"),
                steadyNow());
    return false;
}

void ConfigurationKeeper::announce(Version before, std::string_view source)
{
    m_log.write("configuration-in-force",
                LogLine("configuration-in-force")
                        .add("version", version().value())
                        .add("before", before.value())
                        .add("source", source)
                        .add("routes", m_replica.current()->routeCount()),
                steadyNow());
    m_inForce(m_replica.current());
}

} // namespace godwitlift
