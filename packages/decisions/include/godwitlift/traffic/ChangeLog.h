/// \file
/// When the entries of a versioned map were last changed or removed.
#pragma once

#include "godwitlift/base/StrongId.h"

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

namespace godwitlift {

/// For each entry the version of its last change, and for the latest removals a tombstone. Not
/// thread-safe.
template<typename Id, typename Entry>
class ChangeLog final
{
public:
    /// Earlier removals are forgotten.
    static constexpr std::size_t MaxTombstones = 256;

    using Entries = std::map<Id, std::shared_ptr<const Entry>>;

    /// \p next, of \p version, replaces \p previous, which is null for the first version.
    void record(const Entries *previous, const Entries &next, Version version)
    {
        if (previous == nullptr) {
            m_completeAfter = version;
        } else {
            for (const auto &[id, entry] : *previous) {
                if (next.contains(id))
                    continue;
                m_tombstones.emplace(version, id);
                m_changedIn.erase(id);
            }
        }
        for (const auto &[id, entry] : next) {
            if (previous == nullptr || !isUnchanged(*previous, id, entry))
                m_changedIn[id] = version;
        }
        while (m_tombstones.size() > MaxTombstones) {
            m_completeAfter = std::max(m_completeAfter, m_tombstones.begin()->first);
            m_tombstones.erase(m_tombstones.begin());
        }
    }

    static bool isUnchanged(const Entries &previous, const Id &id,
                            const std::shared_ptr<const Entry> &entry)
    {
        const auto it = previous.find(id);
        return it != previous.end() && (it->second == entry || *it->second == *entry);
    }

    /// Whether all removals after \p version are known.
    bool isCompleteSince(Version version) const { return version >= m_completeAfter; }
    bool hasChangedSince(const Id &id, Version version) const
    {
        return m_changedIn.at(id) > version;
    }
    /// The entries removed after \p version that \p current does not contain.
    std::vector<Id> removedSince(Version version, const Entries &current) const
    {
        std::vector<Id> removed;
        for (auto it = m_tombstones.upper_bound(version); it != m_tombstones.end(); ++it) {
            if (!current.contains(it->second))
                removed.push_back(it->second);
        }
        return removed;
    }

private:
    std::map<Id, Version> m_changedIn; ///< Version in which this node saw the last change.
    std::multimap<Version, Id> m_tombstones;
    Version m_completeAfter; ///< All later removals have a tombstone.
};

} // namespace godwitlift
