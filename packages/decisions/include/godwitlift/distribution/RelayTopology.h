/// \file
/// The relay tree of a zone, computed from its known members.
#pragma once

#include "godwitlift/membership/HostDirectory.h"

#include <set>
#include <vector>

namespace godwitlift {

/// Level of a node in its zone's relay tree.
enum class RelayLevel : std::uint8_t {
    Root,  ///< Polls the platform and exchanges updates with the roots of other zones.
    Relay, ///< Follows a root and is followed by leaves.
    Leaf   ///< Follows a relay.
};

std::string_view name(RelayLevel level);

/// Shape of the fan-out within a zone.
enum class FanOutShape : std::uint8_t {
    Tree, ///< Roots, relays and leaves.
    Flat  ///< Every node follows a root; a baseline for benchmarks.
};

/// Computes levels and parents by rendezvous hashing. Stateless: nodes with the same directory
/// compute the same tree. If a relay other than a root becomes unreachable, only the host that
/// replaces it and the followers of both get another parent.
class RelayTopology final
{
public:
    /// Nodes per zone that poll the platform.
    static constexpr std::size_t RootCount = 2;

    /// Hosts in \p unreachable are skipped.
    RelayTopology(const HostDirectory &directory, const ZoneId &zone,
                  const std::set<HostId> &unreachable, FanOutShape shape = FanOutShape::Tree);

    RelayLevel level(const HostId &host) const;
    /// The host that \p host follows; empty for the first root and if no host can be followed.
    HostId parent(const HostId &host) const;
    const std::vector<HostId> &roots() const { return m_roots; }
    /// All relays; the first ones are the roots.
    const std::vector<HostId> &relays() const { return m_relays; }

    /// Roots of \p zone, highest score first.
    static std::vector<HostId> rootsOf(const HostDirectory &directory, const ZoneId &zone,
                                       const std::set<HostId> &unreachable);

private:
    std::vector<HostId> m_roots;
    std::vector<HostId> m_relays;
};

/// The entry of \p candidates with the highest rendezvous score for \p key; empty if there is none.
HostId rendezvousChoice(std::string_view key, const std::vector<HostId> &candidates);

} // namespace godwitlift
