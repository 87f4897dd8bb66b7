/// \file
/// Order and state of a roll-out: moving a service's requests to another version of its program.
#pragma once

#include "godwitlift/base/StrongId.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace godwitlift {

/// How much traffic a version of a service may get before it is known to be good.
struct RolloutBounds
{
    double exposureShare = 0.1; ///< Of all requests for the service from the order to its deadline.
    double exposureSlack = 0;   ///< Requests beyond the share.
    /// From the 50th bad answer until no request may be sent to the version.
    absl::Duration rollbackLimit = absl::Seconds(5);

    friend bool operator==(const RolloutBounds &, const RolloutBounds &) = default;
};

/// An operator's order to move a service's requests to servers of the version `target`.
struct RolloutOrder
{
    ServiceId service;
    ServerVersion target;
    absl::Duration duration;    ///< From the order to its deadline.
    std::uint64_t revision = 0; ///< Of the order in the store; a later order has a higher one.

    friend bool operator==(const RolloutOrder &, const RolloutOrder &) = default;
};

/// Phase of a roll-out. A higher value replaces a lower one.
enum class RolloutPhase : std::uint8_t {
    Trial,      ///< A small share of the requests goes to the new version.
    Shift,      ///< The new version is good; its share of the requests grows in steps.
    RolledBack, ///< The new version gets no requests.
    Completed   ///< Recorded in the store: the servers of other versions have stopped.
};

/// Stable lower-case name for logs.
std::string_view name(RolloutPhase phase);

/// What a node knows about the latest roll-out of a service.
struct RolloutState
{
    RolloutOrder order;
    absl::Time ordered; ///< On the node's clock.
    RolloutPhase phase = RolloutPhase::Trial;
    std::uint32_t step = 0;  ///< Of the shift.
    bool isRecorded = false; ///< The store has the result, so that it no longer changes.

    absl::Time deadline() const { return ordered + order.duration; }
    bool isFinal() const { return phase >= RolloutPhase::RolledBack; }
};

/// Row with the state of a roll-out in the store.
struct RolloutStatus
{
    ServerVersion target;
    RolloutPhase phase = RolloutPhase::Trial; ///< Trial stands for Shift as well.
    std::uint64_t order = 0;                  ///< Revision of the order.
    std::int64_t orderedUnixMs = 0;

    friend bool operator==(const RolloutStatus &, const RolloutStatus &) = default;
};

/// Whether \p other is newer than \p state: of a later order, or further on. States of one order
/// that nodes exchange in any sequence thus converge; a result that the store has wins.
bool isNewer(const RolloutState &other, const RolloutState &state);

/// Share of a service's requests that goes to the new version, and which of its servers get them.
struct RolloutShare
{
    /// Of the largest share that an unproven version may get; the rest is for the shift, in which
    /// the version may still turn out to be bad.
    static constexpr double TrialPart = 0.4;
    /// Number of steps of the shift; all requests go to the new version in the last one.
    static constexpr std::uint32_t ShiftSteps = 2;
    /// Share in the first step: high enough to show what fails under load.
    static constexpr double FirstStepShare = 0.3;

    /// Share in \p state, where an unproven version may get \p exposureShare.
    static double of(const RolloutState &state, double exposureShare);
};

} // namespace godwitlift
