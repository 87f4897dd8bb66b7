/// \file
/// JSON forms of plans, reports and history for the operators' API.
#pragma once

#include "ControlRuntime.h"
#include "godwitlift/configuration/Plan.h"

#include <nlohmann/json.hpp>

namespace godwitlift {

nlohmann::json toJson(const Plan &plan);
nlohmann::json toJson(const PublicationOutcome &end);
nlohmann::json toJson(const HistoryListing &listing);
nlohmann::json toJson(const FleetStatus &status, const NodeView &node);

/// Reads a confirmation as the operators' command sends it, but for its author.
Result<Confirmation> decodeConfirmation(std::string_view text);

} // namespace godwitlift
