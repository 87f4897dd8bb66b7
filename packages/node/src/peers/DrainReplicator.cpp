/// \file
/// Reads and writes the host's drain row and exchanges drain records with peers.
#include "peers/DrainReplicator.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace godwitlift {

namespace {

/// Table of the store with the drain records of each host.
constexpr const char *DrainTable = "gl-drains";
/// The delay before the store is called again doubles with each failure up to the maximum, which is
/// longer while neither the gate nor the backend server waits for the answer.
constexpr absl::Duration InitialStoreDelay = absl::Milliseconds(200);
constexpr absl::Duration MaxUrgentStoreDelay = absl::Seconds(1);
constexpr absl::Duration MaxStoreDelay = absl::Seconds(5);
/// Smallest character of a key; appended to a key it gives the first possible key after it.
constexpr char SmallestKeyCharacter = '!';

std::string encodeRow(const DrainRecords &records)
{
    nlohmann::json row = nlohmann::json::array();
    for (const DrainRecord &record : records.list())
        row.push_back({ { "server", record.server.value() },
                        { "started_ms", record.startedUpToUnixMs } });
    return row.dump();
}

/// Returns none for a row that is malformed or has another format.
std::optional<std::vector<DrainRecord>> decodeRow(const std::string &text)
{
    auto row = nlohmann::json::parse(text, nullptr, false);
    if (row.is_object()) // A single record, as nodes of earlier versions wrote it.
        row = nlohmann::json::array({ row });
    if (!row.is_array())
        return std::nullopt;
    std::vector<DrainRecord> records;
    for (const auto &entry : row) {
        if (!entry.is_object() || !entry.contains("server") || !entry["server"].is_string()
            || !entry.contains("started_ms") || !entry["started_ms"].is_number_integer())
            return std::nullopt;
        records.push_back({ BackendServerId(entry["server"].get<std::string>()),
                            entry["started_ms"].get<std::int64_t>() });
    }
    return records;
}

mesh::DrainNotice encodeRecord(const DrainRecord &record)
{
    mesh::DrainNotice notice;
    notice.set_server(record.server.value());
    notice.set_started_ms(record.startedUpToUnixMs);
    return notice;
}

DrainRecord decodeRecord(const mesh::DrainNotice &notice)
{
    return { BackendServerId(notice.server()), notice.started_ms() };
}

mesh::Frame encodeNotice(const DrainRecord &record)
{
    mesh::Frame frame;
    *frame.mutable_drain_notice() = encodeRecord(record);
    return frame;
}

} // namespace

DrainReplicator::DrainReplicator(asio::io_context &loop, HostId ownHost, StoreClient &store,
                                 BackendServerGate &gate, RateLimitedLog &log, NodeMetrics &metrics,
                                 RandomSource &random, Broadcast broadcast)
    : m_ownHost(std::move(ownHost))
    , m_store(store)
    , m_gate(gate)
    , m_log(log)
    , m_metrics(metrics)
    , m_random(random)
    , m_broadcast(std::move(broadcast))
    , m_storeTimer(loop.get_executor())
    , m_ownProcess(std::max<std::uint64_t>(random.next(), 1))
    , m_storeDelay(InitialStoreDelay)
{}

void DrainReplicator::start()
{
    readRow();
}

void DrainReplicator::startWithoutRow()
{
    m_isRowCurrent = true;
    m_replication.onStoreRead();
    m_isRecallReported = true;
    m_gate.onFirstStart();
    writeRow();
}

void DrainReplicator::onStoreReset()
{
    m_replication.onStoreReset();
    m_isRowCurrent = false;
    // A call in progress either gets no answer and is repeated, or its answer is of the new era.
    if (!m_isStoreCallInProgress && !m_gate.lifecycle().drains().list().empty())
        continueWithStoreAfter(StoreResetSpread * m_random.uniformReal());
}

void DrainReplicator::tick()
{
    const absl::Time now = steadyNow();
    std::vector<Callback> callbacks;
    std::erase_if(m_pendingDrains, [&](PendingDrain &drain) {
        if (now - drain.startTime <= ReplicationTimeout)
            return false;
        callbacks.push_back(std::move(drain.done));
        return true;
    });
    for (const Callback &done : callbacks)
        done(DrainCopy::None);
}

void DrainReplicator::replicate(const DrainRecord &record, Callback done)
{
    m_pendingDrains.push_back({ record, std::move(done), steadyNow() });
    if (m_replication.copyOf(record) == DrainCopy::None) {
        m_broadcast(encodeNotice(record));
        if (!m_isStoreCallInProgress)
            continueWithStore();
    }
    completePendingDrains();
}

void DrainReplicator::completePendingDrains()
{
    std::vector<std::pair<Callback, DrainCopy>> callbacks;
    std::erase_if(m_pendingDrains, [&](PendingDrain &drain) {
        const DrainCopy copy = m_replication.copyOf(drain.record);
        if (copy == DrainCopy::None)
            return false;
        callbacks.emplace_back(std::move(drain.done), copy);
        return true;
    });
    for (const auto &[done, copy] : callbacks)
        done(copy);
}

void DrainReplicator::readRow()
{
    m_isStoreCallInProgress = true;
    StoreRequest request;
    request.kind = StoreRequest::Kind::List;
    request.table = DrainTable;
    request.firstKey = m_ownHost.value();
    request.endKey = m_ownHost.value() + SmallestKeyCharacter;
    m_store.call(std::move(request), [this](const StoreAnswer &answer) { onRowRead(answer); });
}

void DrainReplicator::onRowRead(const StoreAnswer &answer)
{
    m_isStoreCallInProgress = false;
    if (answer.outcome != StoreOutcome::Done) {
        retryStore();
        return;
    }
    m_storeDelay = InitialStoreDelay;
    m_isRowCurrent = true;
    m_rowRevision = 0;
    if (answer.unreadableRows > 0)
        reportUnreadableRow();
    for (const StoreRow &row : answer.rows) {
        if (row.key != m_ownHost.value())
            continue;
        m_rowRevision = row.revision;
        const auto records = decodeRow(row.value);
        if (!records) {
            reportUnreadableRow();
            continue;
        }
        for (const DrainRecord &record : *records) {
            m_replication.onStoreConfirmed(record);
            recall(record, "store");
        }
    }
    m_replication.onStoreRead();
    updateRecall();
    completePendingDrains();
    writeRow();
}

void DrainReplicator::reportUnreadableRow()
{
    m_metrics.recordUndecodable("drain-row");
    m_log.write("drain-row-unreadable", LogLine("drain-row-unreadable"), steadyNow());
}

void DrainReplicator::writeRow()
{
    const DrainRecords &records = m_gate.lifecycle().drains();
    if (m_replication.missingInStore(records).empty())
        return;
    if (!m_isRowCurrent) {
        readRow(); // Then writes.
        return;
    }
    m_isStoreCallInProgress = true;
    StoreRequest request;
    request.kind = StoreRequest::Kind::Put;
    request.table = DrainTable;
    request.key = m_ownHost.value();
    request.value = encodeRow(records);
    request.expectedRevision = m_rowRevision;
    m_store.call(std::move(request), [this, written = records.list()](const StoreAnswer &answer) {
        onRowWritten(answer, written);
    });
}

void DrainReplicator::onRowWritten(const StoreAnswer &answer,
                                   const std::vector<DrainRecord> &records)
{
    m_isStoreCallInProgress = false;
    // The answer does not tell the row's new revision, and after a conflict or a lost answer the
    // row is unknown, so that the next write begins with a read.
    m_isRowCurrent = answer.outcome == StoreOutcome::Refused;
    if (answer.outcome != StoreOutcome::Done) {
        retryStore();
        return;
    }
    m_storeDelay = InitialStoreDelay;
    for (const DrainRecord &record : records)
        m_replication.onStoreConfirmed(record);
    completePendingDrains();
    writeRow();
}

void DrainReplicator::retryStore()
{
    const bool isUrgent = !m_pendingDrains.empty() || m_gate.lifecycle().needsProbe();
    m_storeDelay = std::min(m_storeDelay, isUrgent ? MaxUrgentStoreDelay : MaxStoreDelay);
    continueWithStoreAfter(m_storeDelay * (0.5 + 0.5 * m_random.uniformReal()));
    m_storeDelay *= 2;
}

void DrainReplicator::continueWithStoreAfter(absl::Duration delay)
{
    expireAfter(m_storeTimer, delay);
    m_storeTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            continueWithStore();
    });
}

void DrainReplicator::continueWithStore()
{
    m_storeTimer.cancel();
    if (m_isRowCurrent)
        writeRow();
    else
        readRow();
}

void DrainReplicator::recall(const DrainRecord &record, std::string_view source)
{
    if (m_gate.lifecycle().drains().covers(record.server, record.startedUpToUnixMs))
        return;
    m_log.write("drain-recalled",
                LogLine("drain-recalled")
                        .add("server", record.server.value())
                        .add("started_ms", record.startedUpToUnixMs)
                        .add("source", source),
                steadyNow());
    m_gate.markDrained(record.server, record.startedUpToUnixMs);
}

void DrainReplicator::updateRecall()
{
    if (m_isRecallReported || !m_replication.isRecallComplete())
        return;
    m_isRecallReported = true;
    m_gate.onDrainsRecalled();
}

void DrainReplicator::fillHello(const HostId &host, mesh::Hello &hello) const
{
    hello.set_process(m_ownProcess);
    const auto drains = m_peerDrains.find(host);
    if (drains == m_peerDrains.end())
        return;
    const PeerDrains &known = drains->second;
    hello.set_known_process(known.earlierProcess != 0 ? known.earlierProcess : known.process);
    for (const DrainRecord &record : known.records.list())
        *hello.add_drained() = encodeRecord(record);
}

void DrainReplicator::onHello(const HostId &peer, const mesh::Hello &hello)
{
    for (const mesh::DrainNotice &notice : hello.drained())
        recall(decodeRecord(notice), peer.value());
    // Without a known process, the peer has not been connected to this host since it started.
    if (hello.known_process() != 0 && hello.known_process() != m_ownProcess)
        m_replication.onPeerRecalled(peer);
    updateRecall();
    PeerDrains &drains = m_peerDrains[peer];
    if (drains.process != hello.process()) {
        drains.earlierProcess = drains.process;
        drains.process = hello.process();
    }
}

std::vector<mesh::Frame> DrainReplicator::notices() const
{
    std::vector<mesh::Frame> frames;
    for (const DrainRecord &record : m_gate.lifecycle().drains().list())
        frames.push_back(encodeNotice(record));
    return frames;
}

mesh::Frame DrainReplicator::onNotice(const HostId &peer, const mesh::DrainNotice &notice)
{
    m_peerDrains[peer].records.add(decodeRecord(notice));
    mesh::Frame frame;
    frame.mutable_drain_noted()->set_server(notice.server());
    frame.mutable_drain_noted()->set_started_ms(notice.started_ms());
    return frame;
}

void DrainReplicator::onNoted(const HostId &peer, const mesh::DrainNoted &noted)
{
    m_replication.onPeerConfirmed(peer, { BackendServerId(noted.server()), noted.started_ms() });
    completePendingDrains();
}

} // namespace godwitlift
