/// \file
/// Strong types for identifiers and counters, so that passing, for example, a host where a service
/// is expected does not compile.
#pragma once

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>
#include <utility>

namespace godwitlift {

/// A textual identifier whose meaning is fixed by its tag type.
template<typename Tag>
class StrongId final
{
public:
    StrongId() = default;
    explicit StrongId(std::string value)
        : m_value(std::move(value))
    {}

    const std::string &value() const { return m_value; }
    bool isEmpty() const { return m_value.empty(); }

    friend auto operator<=>(const StrongId &, const StrongId &) = default;
    friend bool operator==(const StrongId &, const StrongId &) = default;

    template<typename H>
    friend H AbslHashValue(H state, const StrongId &id)
    {
        return H::combine(std::move(state), id.m_value);
    }

    friend std::ostream &operator<<(std::ostream &out, const StrongId &id)
    {
        return out << id.m_value;
    }

private:
    std::string m_value;
};

/// An unsigned counter whose meaning is fixed by its tag type.
template<typename Tag>
class StrongNumber final
{
public:
    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(std::uint64_t value)
        : m_value(value)
    {}

    constexpr std::uint64_t value() const { return m_value; }
    constexpr StrongNumber next() const { return StrongNumber(m_value + 1); }

    friend constexpr auto operator<=>(const StrongNumber &, const StrongNumber &) = default;
    friend constexpr bool operator==(const StrongNumber &, const StrongNumber &) = default;

    template<typename H>
    friend H AbslHashValue(H state, const StrongNumber &number)
    {
        return H::combine(std::move(state), number.m_value);
    }

    friend std::ostream &operator<<(std::ostream &out, const StrongNumber &number)
    {
        return out << number.m_value;
    }

private:
    std::uint64_t m_value = 0;
};

using HostId = StrongId<struct HostIdTag>;
using ZoneId = StrongId<struct ZoneIdTag>;
using RegionId = StrongId<struct RegionIdTag>;
using ServiceId = StrongId<struct ServiceIdTag>;
using RouteId = StrongId<struct RouteIdTag>;
/// Priority class of requests, as defined in the configuration.
using RankId = StrongId<struct RankIdTag>;
using CallerId = StrongId<struct CallerIdTag>;
/// Name of a client account.
using ClientAccountId = StrongId<struct ClientAccountIdTag>;
/// Name of one backend server process, unique on its host.
using BackendServerId = StrongId<struct BackendServerIdTag>;
/// Version of a service's program that a backend server runs.
using ServerVersion = StrongId<struct ServerVersionTag>;
/// Chosen by the operator's client for one confirmed plan; makes publishing idempotent.
using OperationId = StrongId<struct OperationIdTag>;
/// Key under which a non-idempotent call runs at most once.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;
/// `IP:port`, the IP address in text form.
using Address = StrongId<struct AddressTag>;
/// Hexadecimal 128-bit content digest.
using Digest = StrongId<struct DigestTag>;

/// Position in the total order of configurations; 0 is the empty configuration.
using Version = StrongNumber<struct VersionTag>;
/// Identifies one start of the process on a host; increases with each start.
using Incarnation = StrongNumber<struct IncarnationTag>;
/// Orders the changes of one host incarnation, or the announcements of one backend server process.
using Sequence = StrongNumber<struct SequenceTag>;
/// Hash of what a client asks for, equal for each repetition of a request.
using ContentDigest = StrongNumber<struct ContentDigestTag>;
/// Identifies one attempt of a call between two nodes, unique per sending node.
using AttemptId = StrongNumber<struct AttemptIdTag>;

} // namespace godwitlift
