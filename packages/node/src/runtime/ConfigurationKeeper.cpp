/// \file
/// Taking versions into force.
#include "runtime/ConfigurationKeeper.h"

namespace godwitlift {

ConfigurationKeeper::ConfigurationKeeper(asio::io_context &loop, StoreClient &store,
                                         const PlatformProtocol &protocol, RandomSource &random,
                                         DecisionLog &log, NodeMetrics &metrics, InForce inForce)
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
    ask(m_watch.first());
}

void ConfigurationKeeper::ask(const WatchStep &step)
{
    expireAfter(m_timer, step.delay);
    m_timer.async_wait([this, step](const boost::system::error_code &error) {
        if (error)
            return;
        StoreRequest request;
        request.kind = step.isWatch ? StoreRequest::Kind::Watch : StoreRequest::Kind::List;
        request.table = m_protocol.configurationTable();
        request.after = step.after;
        request.wait = step.wait;
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
    const WatchStep next = m_watch.answered(result, answer.revision);
    if (wasFailing != m_watch.isFailing()) {
        m_log.write("store", LogLine(m_watch.isFailing() ? "store-lost" : "store-regained")
                                     .add("outcome", name(answer.outcome)),
                    steadyNow());
    }
    for (const StoreRow &row : answer.rows) {
        if (row.key == m_protocol.configurationKey() && !row.isDeleted)
            offer(row.value, "store");
    }
    ask(next);
}

void ConfigurationKeeper::offer(std::string_view text, std::string_view source)
{
    if (text == m_text || text == m_refusedText)
        return;
    std::string problem;
    const auto catalogue =
            valueOr([&] { return m_protocol.decodeConfiguration(text); }, problem);
    if (!catalogue) {
        m_refusedText = std::string(text);
        m_metrics.undecodable("configuration");
        m_log.write("configuration-refused",
                    LogLine("configuration-refused")
                            .add("source", source)
                            .add("in_force", m_version.value())
                            .add("problem", problem),
                    steadyNow());
        return;
    }
    if ((*catalogue)->version() <= m_version)
        return;
    m_log.write("configuration-in-force",
                LogLine("configuration-in-force")
                        .add("version", (*catalogue)->version().value())
                        .add("before", m_version.value())
                        .add("source", source)
                        .add("routes", (*catalogue)->routeCount()),
                steadyNow());
    m_version = (*catalogue)->version();
    m_text = std::string(text);
    m_inForce(*catalogue);
}

} // namespace godwitlift
