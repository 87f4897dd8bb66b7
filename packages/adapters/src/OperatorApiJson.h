/// \file
/// JSON encoding of the operator API.
#pragma once

#include "ControlRuntime.h"
#include "godwitlift/configuration/Plan.h"

#include <nlohmann/json.hpp>

namespace godwitlift {

nlohmann::json toJson(const Plan &plan);
nlohmann::json toJson(const PublicationOutcome &outcome);
nlohmann::json toJson(const HistoryListing &listing);
nlohmann::json toJson(const FleetStatus &status, const NodeStatus &node);

/// Decodes a confirmation from a request body. The author is left empty; the caller sets it.
Result<Confirmation> decodeConfirmation(std::string_view text);

} // namespace godwitlift
