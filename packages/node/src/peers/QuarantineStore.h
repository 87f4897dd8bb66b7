/// \file
/// Copies of the fleet's quarantined requests in the store, for nodes that all start anew.
#pragma once

#include "ingress/TrialClaims.h"
#include "report/NodeMetrics.h"
#include "report/RateLimitedLog.h"
#include "store/StoreClient.h"

#include "godwitlift/base/RandomSource.h"
#include "godwitlift/traffic/CrashHistory.h"

#include <set>
#include <string>

namespace godwitlift {

/// Writes the quarantines that this node's backend server has brought about, and reads all of them
/// once when the node starts.
///
/// Peers tell a node that starts what they know; the store is for the case that no peer knows
/// anything because all have restarted. A quarantine has one row, which any node may write: a lost
/// or late write costs at most a crash that is known too late. The row also names the latest trial;
/// a node that wants one writes it on the condition that the row has not changed since it was read,
/// so that one node at most is granted a trial whatever becomes of the others.
class QuarantineStore final : public TrialClaims
{
public:
    QuarantineStore(asio::io_context &loop, StoreClient &store, CrashHistory &history,
                    RateLimitedLog &log, NodeMetrics &metrics, RandomSource &random);

    /// Reads the rows, until the store has answered.
    void start();
    /// Writes the request's crashes if it is quarantined, until the store has them.
    void save(ContentDigest content);
    /// Deletes the request's row, since a server has answered it.
    void remove(ContentDigest content);

    void claimTrial(ContentDigest content, std::function<void(bool)> onDecided) override;

    /// The store has returned from a copy: repeats the writes and removals of this node.
    void onStoreReset();

private:
    void readRows(const std::string &firstKey);
    void onRowsRead(const StoreAnswer &answer);
    void addRow(const StoreRow &row);
    void onTrialRowRead(ContentDigest content, const StoreAnswer &answer,
                        const std::function<void(bool)> &onDecided);
    void logUnreadableRow(const std::string &key);
    void writeNext();
    void onRowWritten(ContentDigest content, const StoreAnswer &answer);
    /// Continues with the store after a delay.
    void retryLater();
    void continueWithStore();
    void removeRow(ContentDigest content);

    StoreClient &m_store;
    CrashHistory &m_history;
    RateLimitedLog &m_log;
    NodeMetrics &m_metrics;
    RandomSource &m_random;
    LoopTimer m_timer;
    std::set<ContentDigest> m_saved;   ///< Rows that this node has written, unless removed since.
    std::set<ContentDigest> m_removed; ///< Rows that this node has removed last.
    std::set<ContentDigest> m_unsaved; ///< Requests whose row is to be written.
    bool m_isWriting = false;
    bool m_areRowsRead = false;
};

} // namespace godwitlift
