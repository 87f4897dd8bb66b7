/// \file
/// Which requests backend servers have crashed under, as the fleet knows it.
#pragma once

#include "godwitlift/base/StrongId.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace godwitlift {

/// Identifies one process of a backend server in the fleet: a hash of its id and start time.
using ServerProcess = StrongNumber<struct ServerProcessTag>;

/// A backend server ended while it ran a request.
struct ServerCrash
{
    ContentDigest content; ///< Of the request.
    ServerProcess process;

    friend bool operator==(const ServerCrash &, const ServerCrash &) = default;
};

/// A crash and how long ago it happened.
struct AgedCrash
{
    ServerCrash crash;
    absl::Duration age;
};

/// What a node may do with a request.
enum class CrashAdmission : std::uint8_t {
    Send,
    Refuse,
    Trial ///< Its quarantine has ended. One node of the fleet may send it, to see whether it is
          ///< safe.
};

/// The latest trial of a request that a node has been granted.
struct CrashTrial
{
    std::size_t crashCount = 0; ///< Crashes that were known when it was granted.
    absl::Duration age;
};

/// Quarantines requests under which CrashLimit backend servers have ended. Not thread-safe.
///
/// A server's end also charges the requests that were only in progress. What tells the cause from
/// them is that it is never answered: any complete answer clears a request, and one that was
/// answered shortly before is not charged at all, so that a popular request stays served when many
/// servers fall at once.
///
/// Invariants: a process counts once for a request, however often it is reported; at most
/// MaxRequests requests are kept, of which the one with the oldest crash is evicted; a request with
/// fewer than CrashLimit crashes is never quarantined.
class CrashHistory final
{
public:
    /// Servers that must end under a request before it is quarantined. Requests that are in
    /// progress when two servers fall by other causes stay served.
    static constexpr std::size_t CrashLimit = 3;
    /// Quarantine after the last crash. Doubles with each further one, so that a request that still
    /// crashes servers ends ever fewer.
    static constexpr absl::Duration InitialQuarantine = absl::Minutes(1);
    static constexpr absl::Duration MaxQuarantine = absl::Hours(1);
    /// After the quarantine, a node asks for a trial of a request at most once in this time.
    static constexpr absl::Duration TrialInterval = absl::Seconds(10);
    /// Time after which a trial that led neither to an answer nor to a crash, such as one of a node
    /// that was lost, is repeated. Longer than a request and the report of its end take.
    static constexpr absl::Duration TrialExpiry = absl::Minutes(1);
    /// Time after an answer in which a request is not charged with a crash.
    static constexpr absl::Duration AnswerProtection = absl::Seconds(10);
    /// Time after the last crash at which a request that is not quarantined is forgotten.
    static constexpr absl::Duration ChargeExpiry = absl::Minutes(10);
    static constexpr std::size_t MaxRequests = 256;
    /// Answered requests that are remembered for AnswerProtection.
    static constexpr std::size_t MaxAnswers = 4096;

    /// Charges a request of this node's backend server. False if it is protected by an answer or
    /// the crash is known.
    bool charge(const ServerCrash &crash, absl::Time now);
    /// Age of the answer that protects the request from being charged; none if nothing does.
    std::optional<absl::Duration> protectingAnswerAge(ContentDigest content, absl::Time now) const;
    /// Adds a crash that another node has charged.
    void add(const AgedCrash &crash, absl::Time now);
    /// A backend server has answered the request. True if that cleared charges, which the other
    /// nodes have to be told.
    bool onAnswered(ContentDigest content, absl::Time now);
    /// Another node has seen an answer.
    void clear(ContentDigest content) { m_charges.erase(content); }

    bool isQuarantined(ContentDigest content, absl::Time now) const;
    /// What this node may do with the request now. Trial is returned once per TrialInterval.
    CrashAdmission admit(ContentDigest content, absl::Time now);
    /// Whether the fleet may try the request again, of which \p latest is the latest trial, if any.
    bool isTrialDue(ContentDigest content, const std::optional<CrashTrial> &latest,
                    absl::Time now) const;
    /// Time until the request may be tried again; zero if it is not quarantined.
    absl::Duration quarantineLeft(ContentDigest content, absl::Time now) const;
    /// The crashes of one request; empty if none is known.
    std::vector<AgedCrash> crashes(ContentDigest content, absl::Time now) const;
    /// All crashes that are known, for a node that has just started.
    std::vector<AgedCrash> list(absl::Time now) const;

private:
    struct Charges
    {
        std::vector<ServerProcess> processes;
        absl::Time lastCrash = absl::InfinitePast();
        absl::Time lastTrial = absl::InfinitePast(); ///< For which this node has asked.
    };

    bool insert(const ServerCrash &crash, absl::Time crashTime, absl::Time now);
    void evict(absl::Time now);
    static absl::Time quarantineEnd(const Charges &charges);

    absl::flat_hash_map<ContentDigest, Charges> m_charges;
    absl::flat_hash_map<ContentDigest, absl::Time> m_answers; ///< Latest answer of each request.
    std::deque<ContentDigest> m_answerOrder; ///< Keys of m_answers, least recently added first.
};

} // namespace godwitlift
