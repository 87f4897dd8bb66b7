/// \file
/// Inputs under the control lock, effects without it.
#include "ControlRuntime.h"

#include "godwitlift/adapters/EventLog.h"

#include <absl/time/clock.h>

namespace godwitlift {

ControlRuntime::ControlRuntime(std::unique_ptr<ControlPlane> plane, PeerClient &peers,
                               PlatformWorkers &platform, Metrics &metrics,
                               TableCallback tableChanged)
    : m_plane(std::move(plane))
    , m_peers(peers)
    , m_platform(platform)
    , m_metrics(metrics)
    , m_tableChanged(std::move(tableChanged))
{}

void ControlRuntime::feed(const Input &input)
{
    ControlEffects effects;
    std::uint64_t serial = 0;
    std::vector<BackendServer> own;
    {
        const absl::MutexLock lock(&m_mutex);
        effects = input(*m_plane, absl::Now());
        if (effects.table != nullptr) {
            serial = ++m_tableSerial;
            own = m_plane->ownBackendServers();
        }
    }
    carryOut(std::move(effects), serial, std::move(own));
}

void ControlRuntime::carryOut(ControlEffects effects, std::uint64_t serial,
                              std::vector<BackendServer> ownBackendServers)
{
    if (effects.table != nullptr) {
        m_metrics.setVersionInForce(effects.table->version());
        m_tableChanged({ serial, effects.table, std::move(ownBackendServers) });
    }
    for (const Address &address : effects.connectionsToReplace) {
        m_peers.replaceConnection(address);
        m_metrics.recordConnectionReplacement();
    }
    for (const SendMessage &send : effects.sends)
        m_peers.sendMessage(send.to, send.message);
    for (PlatformRequest &request : effects.platformRequests) {
        m_platform.submit(std::move(request), [this](const PlatformAnswer &answer) {
            m_metrics.recordPlatformRequest(name(answer.outcome));
            feed([&](ControlPlane &plane, absl::Time now) {
                return plane.platformAnswered(answer, now);
            });
        });
    }
    for (OperatorAnswer &reply : effects.answers)
        answer(std::move(reply));
    for (const LogEvent &event : effects.logs)
        logEvent(event);
}

void ControlRuntime::answer(OperatorAnswer answer)
{
    const absl::MutexLock lock(&m_answersMutex);
    const auto it = m_waiting.find(answer.request);
    if (it != m_waiting.end())
        it->second.reply = std::move(answer.reply);
}

std::optional<OperatorReply> ControlRuntime::ask(const Question &question, absl::Duration timeout)
{
    OperatorRequestId request;
    {
        const absl::MutexLock lock(&m_answersMutex);
        request = OperatorRequestId(m_nextRequest++);
        m_waiting[request] = {};
    }
    feed([&](ControlPlane &plane, absl::Time now) { return question(plane, request, now); });
    const absl::MutexLock lock(&m_answersMutex);
    const auto answered = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_answersMutex) {
        return m_waiting[request].reply.has_value();
    };
    m_answersMutex.AwaitWithTimeout(absl::Condition(&answered), timeout);
    std::optional<OperatorReply> reply = std::move(m_waiting[request].reply);
    m_waiting.erase(request);
    return reply;
}

Result<Plan> ControlRuntime::plan(const ConfigurationDelta &delta) const
{
    const absl::MutexLock lock(&m_mutex);
    return m_plane->plan(delta);
}

Result<Plan> ControlRuntime::planWhole(const Configuration &target) const
{
    const absl::MutexLock lock(&m_mutex);
    return m_plane->planWhole(target);
}

SharedConfiguration ControlRuntime::configuration() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_plane->configuration().current();
}

NodeView ControlRuntime::view() const
{
    const absl::MutexLock lock(&m_mutex);
    NodeView view;
    view.version = m_plane->configuration().version();
    view.isReady = m_plane->isReady();
    view.isWatchingPlatform = m_plane->tree().level() == RelayLevel::Root;
    view.isPlatformReachable = m_plane->isPlatformReachable();
    view.isDoubtingItself = m_plane->isDoubtingItself();
    view.level = std::string(name(m_plane->tree().level()));
    view.parent = m_plane->tree().parent();
    view.hosts = m_plane->directory().records().size();
    view.refused = m_plane->configuration().refused();
    return view;
}

std::optional<MemberHost> ControlRuntime::find(const HostId &host) const
{
    const absl::MutexLock lock(&m_mutex);
    const HostRecord *record = m_plane->directory().find(host);
    if (record == nullptr || !record->isMember())
        return std::nullopt;
    return MemberHost{ record->address, record->stamp.incarnation };
}

} // namespace godwitlift
