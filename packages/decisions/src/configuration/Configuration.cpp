/// \file
/// Validation of a configuration's invariants.
#include "godwitlift/configuration/Configuration.h"

#include <absl/strings/str_cat.h>

namespace godwitlift {

namespace {

void checkRanks(const Configuration &configuration, std::vector<InputFault> &faults)
{
    constexpr double MaxFloorShareSum = 1.0 + 1e-9;
    std::map<int, RankId> byUrgency;
    double floorShareSum = 0;
    for (const auto &[id, rank] : configuration.ranks) {
        const std::string path = absl::StrCat("ranks.", id.value());
        floorShareSum += rank.floorShare;
        if (const auto [it, isInserted] = byUrgency.emplace(rank.urgency, id); !isInserted) {
            faults.push_back({ path + ".urgency",
                               absl::StrCat("same urgency as rank ", it->second.value()) });
        }
        if (rank.floorShare > rank.ceilingShare)
            faults.push_back({ path + ".floor_share", "exceeds ceiling_share" });
    }
    if (floorShareSum > MaxFloorShareSum)
        faults.push_back({ "ranks", "the floor shares sum up to more than 1" });
}

void checkRoutes(const Configuration &configuration, std::vector<InputFault> &faults)
{
    std::map<std::string_view, RouteId> byPrefix;
    for (const auto &[id, route] : configuration.routes) {
        const std::string path = absl::StrCat("routes.", id.value());
        if (!configuration.services.contains(route.service)) {
            faults.push_back(
                    { path + ".service", absl::StrCat("no service ", route.service.value()) });
        }
        if (!configuration.ranks.contains(route.rank))
            faults.push_back({ path + ".rank", absl::StrCat("no rank ", route.rank.value()) });
        if (const auto [it, isInserted] = byPrefix.emplace(route.pathPrefix, id); !isInserted) {
            faults.push_back({ path + ".path_prefix",
                               absl::StrCat("same prefix as route ", it->second.value()) });
        }
    }
}

} // namespace

std::vector<InputFault> Configuration::validate() const
{
    std::vector<InputFault> faults;
    checkRanks(*this, faults);
    checkRoutes(*this, faults);
    return faults;
}

} // namespace godwitlift
