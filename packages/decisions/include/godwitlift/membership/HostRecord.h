/// \file
/// State of one host: what it announces about itself and its liveness as seen by its zone.
#pragma once

#include "godwitlift/base/StrongId.h"

#include <compare>
#include <string>
#include <vector>

namespace godwitlift {

/// Liveness of a host as seen by its zone.
enum class Liveness : std::uint8_t { Alive, Suspect, Dead };

/// Order of the records of one host. A higher incarnation or sequence, which only the host itself
/// issues, supersedes older records; if both are equal, the worse liveness wins until the host
/// refutes it with a higher sequence.
struct RecordStamp
{
    Incarnation incarnation;
    Sequence sequence;
    Liveness liveness = Liveness::Alive;

    friend auto operator<=>(const RecordStamp &, const RecordStamp &) = default;
};

/// Whether a backend server accepts requests, as announced by its host.
enum class BackendServerState : std::uint8_t { Ready, Draining };

/// One backend server process as announced by its host.
struct BackendServer
{
    BackendServerId id;
    ServiceId service;
    Address address;         ///< Where the node on the same host reaches the server.
    std::uint32_t slots = 0; ///< Requests that the server can run concurrently.
    BackendServerState state = BackendServerState::Ready;
    std::int64_t startedUnixMs = 0; ///< Start of the slow start.

    friend bool operator==(const BackendServer &, const BackendServer &) = default;
};

/// Whether a host's node takes part in the mesh, as announced by itself.
enum class HostState : std::uint8_t { Serving, Draining, Left };

/// Everything known about one host; merged as a unit by its stamp.
struct HostRecord
{
    HostId host;
    ZoneId zone;
    RegionId region;
    Address address; ///< Where peers reach the node.
    RecordStamp stamp;
    HostState state = HostState::Serving;
    std::vector<BackendServer> backendServers; ///< Sorted by id; empty once dead or left.

    /// Whether peers may follow the host or send it requests.
    bool isMember() const { return stamp.liveness != Liveness::Dead && state != HostState::Left; }

    friend bool operator==(const HostRecord &, const HostRecord &) = default;
};

/// Digest of the host's name and stamp; equal stamps imply equal records.
std::uint64_t stampHash(const HostRecord &record);

} // namespace godwitlift
