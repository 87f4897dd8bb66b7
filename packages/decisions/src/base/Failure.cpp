/// \file
/// Formats the message of a rejected input.
#include "godwitlift/base/Failure.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace godwitlift {

std::string InputError::message() const
{
    return absl::StrJoin(faults, "; ", [](std::string *out, const InputFault &fault) {
        absl::StrAppend(out, fault.path.empty() ? "input" : fault.path, ": ", fault.problem);
    });
}

} // namespace godwitlift
