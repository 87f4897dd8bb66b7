/// \file
/// What a host says of itself and what its zone believes of it.
#pragma once

#include "godwitlift/base/StrongId.h"

#include <compare>
#include <string>
#include <vector>

namespace godwitlift {

/// How far the zone believes a host to be gone.
enum class Liveness : std::uint8_t { Alive, Suspect, Dead };

/// Order of statements about one host. A host's own statement beats every older one; of equal age,
/// the graver belief wins, until the host refutes it with a higher sequence.
struct RecordStamp
{
    Incarnation incarnation;
    Sequence sequence;
    Liveness liveness = Liveness::Alive;

    friend auto operator<=>(const RecordStamp &, const RecordStamp &) = default;
};

/// Whether a backend server may take work, as its own host says.
enum class BackendServerState : std::uint8_t { Ready, Draining };

/// One backend server process as its host announces it.
struct BackendServer
{
    BackendServerId id;
    ServiceId service;
    Address address;         ///< Where its own host's node reaches it.
    std::uint32_t slots = 0; ///< Requests it can run at a time.
    BackendServerState state = BackendServerState::Ready;
    std::int64_t startedUnixMs = 0; ///< Start of its warm-up.

    friend bool operator==(const BackendServer &, const BackendServer &) = default;
};

/// Whether a host's node takes part in the mesh, as it says itself.
enum class HostState : std::uint8_t { Serving, Draining, Left };

/// The whole statement about one host; merged as a unit by its stamp.
struct HostRecord
{
    HostId host;
    ZoneId zone;
    RegionId region;
    Address address; ///< Where peers reach the node.
    RecordStamp stamp;
    HostState state = HostState::Serving;
    std::vector<BackendServer> backendServers; ///< Sorted by id; empty once dead or left.

    /// Whether peers may follow the host or send it work.
    bool isMember() const { return stamp.liveness != Liveness::Dead && state != HostState::Left; }

    friend bool operator==(const HostRecord &, const HostRecord &) = default;
};

/// Digest over the host's name and stamp; equal stamps stand for equal records.
std::uint64_t stampHash(const HostRecord &record);

} // namespace godwitlift
