/// \file
/// Members that a JSON text lists more than once.
#pragma once

#include "godwitlift/base/Failure.h"

#include <string_view>
#include <vector>

namespace godwitlift {

/// Decoders use the last of several members with the same name, which its writer cannot see. Paths
/// have at most two parts, such as `resources[2]`, and problems name at most two further ones, so
/// that no text of a deeper value is repeated. Returns nothing for a text that is no JSON.
std::vector<InputFault> findDuplicateMembers(std::string_view text);

} // namespace godwitlift
