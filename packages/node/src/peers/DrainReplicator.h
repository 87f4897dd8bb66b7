/// \file
/// Copies of this host's drain records in the store and at peers, and of the peers' records here.
#pragma once

#include "gate/BackendServerGate.h"
#include "mesh.pb.h"
#include "report/NodeMetrics.h"
#include "report/RateLimitedLog.h"
#include "store/StoreClient.h"

#include "godwitlift/base/RandomSource.h"
#include "godwitlift/traffic/DrainReplication.h"

#include <functional>
#include <map>
#include <vector>

namespace godwitlift {

/// Makes the drains of this host's backend server outlive the node, and recalls them when it
/// starts.
///
/// Each host has one row in the store, which only its own node writes. A write is conditional on
/// the row that was read, so that a delayed write of an earlier process cannot replace a later one.
class DrainReplicator final
{
public:
    /// Sends a frame to all peers that are connected to this node.
    using Broadcast = std::function<void(const mesh::Frame &)>;
    /// Receives where the drain is recorded; None if the answer can wait no longer.
    using Callback = std::function<void(DrainCopy)>;

    DrainReplicator(asio::io_context &loop, HostId ownHost, StoreClient &store,
                    BackendServerGate &gate, RateLimitedLog &log, NodeMetrics &metrics,
                    RandomSource &random, Broadcast broadcast);

    /// Begins to read the records of an earlier process of this node. The gate awaits them already.
    void start();
    /// For a node that has no earlier process, and so no row.
    void startWithoutRow();
    /// The store has returned from a copy: writes the records again that it lacks.
    void onStoreReset();
    /// Answers callers that have waited for ReplicationTimeout.
    void tick();
    /// Sends \p record, which the gate already obeys, to the store and the peers. Calls \p done
    /// once a copy exists; after ReplicationTimeout calls it with None and goes on replicating.
    void replicate(const DrainRecord &record, Callback done);

    /// Adds to a hello to \p host what this node keeps about it.
    void fillHello(const HostId &host, mesh::Hello &hello) const;
    /// Learns from a peer's hello what the peer keeps about this host.
    void onHello(const HostId &peer, const mesh::Hello &hello);
    /// Notices with all drain records of this host, for a peer that has just connected.
    std::vector<mesh::Frame> notices() const;
    /// Keeps a record of the host \p peer; returns the confirmation.
    mesh::Frame onNotice(const HostId &peer, const mesh::DrainNotice &notice);
    /// \p peer keeps a record of this host.
    void onNoted(const HostId &peer, const mesh::DrainNoted &noted);

private:
    /// Longest time that the answer to a backend server waits; it calls again after a second
    /// without an answer.
    static constexpr absl::Duration ReplicationTimeout = absl::Milliseconds(800);

    struct PendingDrain
    {
        DrainRecord record;
        Callback done;
        absl::Time startTime;
    };
    /// What this node keeps about another host.
    struct PeerDrains
    {
        DrainRecords records;
        std::uint64_t process = 0;        ///< Latest process of the host's node that was connected.
        std::uint64_t earlierProcess = 0; ///< The one before it; 0 if there was none.
    };

    void readRow();
    void onRowRead(const StoreAnswer &answer);
    void reportUnreadableRow();
    void writeRow();
    void onRowWritten(const StoreAnswer &answer, const std::vector<DrainRecord> &records);
    /// Continues with the store after a delay.
    void retryStore();
    void continueWithStoreAfter(absl::Duration delay);
    void continueWithStore();
    void recall(const DrainRecord &record, std::string_view source);
    void updateRecall();
    void completePendingDrains();

    HostId m_ownHost;
    StoreClient &m_store;
    BackendServerGate &m_gate;
    RateLimitedLog &m_log;
    NodeMetrics &m_metrics;
    RandomSource &m_random;
    Broadcast m_broadcast;
    LoopTimer m_storeTimer;
    DrainReplication m_replication;
    std::uint64_t m_ownProcess; ///< Random and not 0; tells this process from earlier ones.
    std::map<HostId, PeerDrains> m_peerDrains;
    std::vector<PendingDrain> m_pendingDrains;
    StoreRevision m_rowRevision = 0; ///< Of this host's row as last read; 0 if there is none.
    bool m_isStoreCallInProgress = false;
    bool m_isRowCurrent = false; ///< The row has been read and not been written since.
    bool m_isRecallReported = false;
    absl::Duration m_storeDelay;
};

} // namespace godwitlift
