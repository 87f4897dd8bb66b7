/// \file
/// Reads configuration versions from the store and applies them.
#include "runtime/ConfigurationUpdater.h"

#include <algorithm>

namespace godwitlift {

namespace {

/// A failed call older than this does not count as a failure of the store any more.
constexpr absl::Duration FailureValidity = absl::Seconds(5);
/// Longer log lines may be dropped. The first faults are enough to find the others.
constexpr std::size_t MaxLoggedProblemBytes = 1000;

WatchResult watchResultOf(const StoreAnswer &answer)
{
    if (answer.outcome == StoreOutcome::HistoryGone)
        return WatchResult::HistoryGone;
    if (answer.outcome != StoreOutcome::Done)
        return WatchResult::Failed;
    return answer.rows.empty() ? WatchResult::Unchanged : WatchResult::Changed;
}

} // namespace

ConfigurationUpdater::ConfigurationUpdater(asio::io_context &loop, StoreClient &store,
                                           const PlatformProtocol &protocol,
                                           const ConfigurationLease &lease, RandomSource &random,
                                           RateLimitedLog &log, NodeMetrics &metrics,
                                           AppliedCallback onApplied, ConfirmedCallback onConfirmed)
    : m_store(store)
    , m_protocol(protocol)
    , m_log(log)
    , m_metrics(metrics)
    , m_onApplied(std::move(onApplied))
    , m_onConfirmed(std::move(onConfirmed))
    , m_follower(lease, random)
    , m_timer(loop.get_executor())
{}

void ConfigurationUpdater::start(bool isFirstStart)
{
    m_isStarted = true;
    m_follower.start(isFirstStart, suspendAwareNow());
    tick();
}

void ConfigurationUpdater::setRole(const WatchRole &role)
{
    const bool wasWatching = m_follower.role().isWatching;
    m_follower.setRole(role);
    if (role.isWatching == wasWatching)
        return;
    m_log.write("watching",
                LogLine("watching")
                        .add("active", role.isWatching ? "yes" : "no")
                        .add("version", version().value())
                        .add("unconfirmed_ms", timeSinceConfirmed()),
                steadyNow());
}

bool ConfigurationUpdater::isStoreFailing() const
{
    return m_follower.isStoreFailing() && steadyNow() - m_lastAnswerTime < FailureValidity;
}

void ConfigurationUpdater::tick()
{
    if (!m_isStarted)
        return;
    while (const auto call = m_follower.tick(suspendAwareNow()))
        sendCall(*call);
    const absl::Duration nextTick = m_follower.nextTick();
    if (nextTick == absl::InfiniteDuration()) {
        m_timer.cancel();
        return;
    }
    expireAfter(m_timer, nextTick - suspendAwareNow());
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            tick();
    });
}

void ConfigurationUpdater::sendCall(const FollowerCall &call)
{
    StoreRequest request;
    request.kind = call.request.isWatch ? StoreRequest::Kind::Watch : StoreRequest::Kind::List;
    request.table = m_protocol.configurationTable();
    request.afterRevision = call.request.after.revision;
    request.watchTimeout = call.request.longPollTimeout;
    request.isOnNewConnection = !call.request.isLongPoll();
    m_store.call(std::move(request),
                 [this, call](const StoreAnswer &answer) { onStoreAnswer(answer, call); });
}

void ConfigurationUpdater::logRead(const StoreAnswer &answer, const FollowerCall &call)
{
    if (answer.outcome == StoreOutcome::Done && answer.rows.empty())
        return;
    m_log.write("configuration-read",
                LogLine("configuration-read")
                        .add("call", call.request.isWatch ? "watch" : "list")
                        .add("outcome", name(answer.outcome))
                        .add("waited_ms", suspendAwareNow() - call.sent)
                        .add("rows", answer.rows.size())
                        .add("revision", answer.revision)
                        .add("in_force", version().value())
                        .add("unconfirmed_ms", timeSinceConfirmed()),
                steadyNow());
}

void ConfigurationUpdater::onStoreAnswer(const StoreAnswer &answer, const FollowerCall &call)
{
    logRead(answer, call);
    const bool wasFailing = m_follower.isStoreFailing();
    m_lastAnswerTime = steadyNow();
    if (answer.outcome == StoreOutcome::Done)
        m_lastReadTime = m_lastAnswerTime;
    for (const StoreRow &row : answer.rows) {
        if (row.key == m_protocol.configurationKey() && !row.isDeleted)
            applyDocument(row.value);
        else if (row.key != m_protocol.configurationKey() && m_onOtherRow)
            m_onOtherRow(row);
    }
    const auto confirmation =
            m_follower.onAnswer(call, watchResultOf(answer), { answer.era, answer.revision },
                                version(), suspendAwareNow());
    if (wasFailing != m_follower.isStoreFailing()) {
        m_log.write("store",
                    LogLine(m_follower.isStoreFailing() ? "store-lost" : "store-regained")
                            .add("outcome", name(answer.outcome)),
                    steadyNow());
    }
    if (confirmation)
        m_onConfirmed(*confirmation);
    tick();
}

void ConfigurationUpdater::applyDocument(std::string_view document)
{
    std::string problem;
    const auto catalogue =
            valueOrErrorText([&] { return m_protocol.decodeConfiguration(document); }, problem);
    if (!catalogue) {
        m_metrics.recordUndecodable("configuration");
        problem.resize(std::min(problem.size(), MaxLoggedProblemBytes));
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
    if (result == ApplyResult::Applied) {
        reportApplied(previous, source);
        m_follower.onVersionFromPeer(version());
        tick();
    }
    if (result == ApplyResult::Applied || result == ApplyResult::Stale)
        return true;
    const std::string_view problem = result == ApplyResult::Gap        ? "gap"
                                     : result == ApplyResult::Mismatch ? "digest"
                                                                       : "without-accounts";
    m_log.write("configuration-refused",
                LogLine("configuration-refused")
                        .add("source", source)
                        .add("in_force", previous.value())
                        .add("base", changes.base.value())
                        .add("version", changes.version.value())
                        .add("problem", problem),
                steadyNow());
    // A snapshot of the same sender would leave out the accounts, too.
    return result == ApplyResult::Partial;
}

void ConfigurationUpdater::onPeerConfirmation(const ConfigurationConfirmation &confirmation)
{
    m_follower.onPeerConfirmation(confirmation, version());
    tick();
}

void ConfigurationUpdater::reportApplied(Version previous, std::string_view source)
{
    m_log.write("configuration-in-force",
                LogLine("configuration-in-force")
                        .add("version", version().value())
                        .add("before", previous.value())
                        .add("source", source)
                        .add("routes", m_replica.current()->routeCount())
                        .add("accounts", m_replica.current()->accounts().size())
                        .add("unconfirmed_ms", timeSinceConfirmed()),
                steadyNow());
    m_onApplied(m_replica.current());
}

} // namespace godwitlift
