/// \file
/// Whom a node follows, computed from the members it knows.
#pragma once

#include "godwitlift/membership/HostDirectory.h"

#include <set>
#include <vector>

namespace godwitlift {

/// Level of a node in its zone's tree.
enum class RelayLevel : std::uint8_t {
    Root,  ///< Watches the platform and exchanges with the roots of other zones.
    Relay, ///< Follows a root and is followed by leaves.
    Leaf   ///< Follows a relay.
};

std::string_view name(RelayLevel level);

/// Shape of the fan-out within a zone.
enum class FanOutShape : std::uint8_t {
    Tree, ///< Roots, relays and leaves.
    Flat  ///< Every node follows a root; kept for comparison.
};

/// Computes levels and parents by rendezvous hashing. Stateless: two nodes with the same view get
/// the same tree, and a missing host moves only those that followed it.
class RelayTopology final
{
public:
    /// Nodes per zone that watch the platform.
    static constexpr std::size_t RootCount = 2;

    /// \p unreachable are hosts this node failed to reach lately; they are passed over.
    RelayTopology(const HostDirectory &directory, const ZoneId &zone,
                  const std::set<HostId> &unreachable, FanOutShape shape = FanOutShape::Tree);

    RelayLevel level(const HostId &host) const;
    /// The host that \p host follows; empty for the first root and in a zone of one.
    HostId parent(const HostId &host) const;
    const std::vector<HostId> &roots() const { return m_roots; }
    /// Relays including the roots.
    const std::vector<HostId> &relays() const { return m_relays; }

    /// Roots of another zone, best first.
    static std::vector<HostId> rootsOf(const HostDirectory &directory, const ZoneId &zone,
                                       const std::set<HostId> &unreachable);

private:
    std::vector<HostId> m_roots;
    std::vector<HostId> m_relays;
};

/// The entry of \p candidates with the highest rendezvous score for \p key; empty if there is none.
HostId rendezvousChoice(std::string_view key, const std::vector<HostId> &candidates);

} // namespace godwitlift
