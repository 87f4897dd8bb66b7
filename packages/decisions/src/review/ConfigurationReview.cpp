/// \file
/// Findings in one configuration.
#include "godwitlift/review/ConfigurationReview.h"

#include "godwitlift/input/InputBudget.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <set>

namespace godwitlift {

namespace {

/// A host holds a body that it passes on twice: the call's copy and the one on the way.
constexpr std::size_t PassedOnCopies = 2;
constexpr double BytesPerMb = 1e6;

/// Collects findings about one draft.
class Reviewer final
{
public:
    explicit Reviewer(const ConfigurationDraft &draft)
        : m_draft(draft)
    {
        for (const InputFault &fault : draft.faults)
            m_faultyPlaces.insert(fault.path);
    }

    void addDecoderFindings()
    {
        for (const InputFault &fault : m_draft.faults)
            add(FindingSeverity::Error, "refused", fault.path, fault.problem);
        for (const InputFault &remark : m_draft.remarks)
            add(FindingSeverity::Warning, "read-otherwise", remark.path, remark.problem);
    }

    void addRouteFindings()
    {
        if (m_draft.routes.empty() && m_draft.isAccepted())
            add(FindingSeverity::Warning, "no-routes", "",
                "has no route: every request is answered 404");
        std::map<RouteId, std::string> ids;
        std::map<std::pair<std::string, std::string>, std::string> prefixes;
        for (const auto &[place, route] : m_draft.routes) {
            const auto [sameId, isNewId] = ids.emplace(route->id, place);
            if (!isNewId) {
                add(FindingSeverity::Error, "duplicate-route", place,
                    absl::StrCat("has the name of ", sameId->second, ", which is used instead"));
                continue;
            }
            const auto [samePrefix, isNewPrefix] =
                    prefixes.emplace(std::pair(route->hostName, route->prefix), place);
            if (!isNewPrefix)
                add(FindingSeverity::Error, "never-matches", place,
                    absl::StrCat("has the host and prefix of ", named(samePrefix->second),
                                 ", which gets all its requests"));
            if (!m_faultyPlaces.contains(place)) {
                reviewMatch(place, *route);
                reviewDestinations(place, *route);
                reviewTimes(place, *route);
                reviewUrgency(place, route->urgency);
            }
        }
    }

    void addServiceFindings()
    {
        std::set<ServiceId> used;
        for (const auto &[place, route] : m_draft.routes) {
            for (const WeightedService &destination : route->destinations)
                used.insert(destination.service);
        }
        std::map<ServiceId, std::string> ids;
        for (const auto &[place, service] : m_draft.services) {
            const auto [same, isNew] = ids.emplace(service.id, place);
            if (!isNew) {
                add(FindingSeverity::Error, "duplicate-service", place,
                    absl::StrCat("has the name of ", same->second, ", which is used instead"));
                continue;
            }
            if (!service.healthPath.starts_with('/'))
                add(FindingSeverity::Error, "health-path", place,
                    "has a health path that does not begin with a slash: no probe succeeds");
            if (!used.contains(service.id))
                add(FindingSeverity::Warning, "service-without-route", place,
                    "is reached by no route");
        }
    }

    void addAccountFindings()
    {
        if (m_draft.accounts.empty())
            return;
        bool hasKeys = false;
        for (const auto &[place, account] : m_draft.accounts) {
            if (m_faultyPlaces.contains(place)) {
                hasKeys = true; // Unknown.
                continue;
            }
            hasKeys = hasKeys || !account->keys.empty();
            if (account->keys.empty())
                add(FindingSeverity::Warning, "account-without-keys", place,
                    "has no key: nobody can use it");
            if (account->urgency)
                reviewUrgency(place, *account->urgency);
            reviewQuota(place, account->quota);
        }
        const auto isOpen = [](const auto &placed) { return placed.entry->isPublic; };
        const bool isAllOpen = std::all_of(m_draft.routes.begin(), m_draft.routes.end(), isOpen);
        if (m_draft.routes.empty())
            return;
        if (isAllOpen)
            add(FindingSeverity::Warning, "accounts-unused", "",
                "has only public routes: no account's urgency or quota ever applies");
        else if (!hasKeys)
            add(FindingSeverity::Error, "no-keys", "",
                "has accounts but no key: every request to a route that is not public is "
                "answered 401");
    }

    void addLimitFindings()
    {
        const ClientLimits &limits = m_draft.limits;
        const std::string place = m_draft.limitsPlaces.empty() ? "" : m_draft.limitsPlaces.back();
        if (m_draft.limitsPlaces.size() > 1)
            add(FindingSeverity::Warning, "duplicate-limits", place,
                absl::StrCat("sets limits again after ", m_draft.limitsPlaces.front(),
                             "; for each limit the last value is used"));
        if (limits.headerBytes == 0 || limits.headerTimeout <= absl::ZeroDuration()
            || limits.idleTimeout <= absl::ZeroDuration())
            add(FindingSeverity::Error, "limit-of-zero", place,
                "has a limit of 0 for headers, the header's time or the idle time: no request "
                "gets through");
        if (limits.bodyBytes > InputBudget::LargestForwardedBodyBytes)
            add(FindingSeverity::Error, "body-not-forwardable", place,
                absl::StrCat("permits bodies of ", limits.bodyBytes, " bytes; hosts pass on ",
                             InputBudget::LargestForwardedBodyBytes, " at most"));
        for (const auto &[routePlace, route] : m_draft.routes) {
            if (limits.bodyBytes == 0 && route->isUpload)
                add(FindingSeverity::Error, "uploads-refused", routePlace,
                    "takes uploads, but the limit of bodies is 0 bytes");
        }
    }

    void addSettingsFindings(const ReviewedSettings &settings)
    {
        const std::string place = m_draft.limitsPlaces.empty() ? "" : m_draft.limitsPlaces.back();
        if (PassedOnCopies * m_draft.limits.bodyBytes > settings.memoryBytes)
            add(FindingSeverity::Warning, "body-exceeds-memory", place,
                absl::StrCat("permits bodies of ", m_draft.limits.bodyBytes,
                             " bytes, of which a host holds ", PassedOnCopies, " copies; it has ",
                             static_cast<double>(settings.memoryBytes) / BytesPerMb, " MB"));
        if (settings.retryRule.ratio > 0 || settings.retryRule.slack >= 1)
            return;
        for (const auto &[routePlace, route] : m_draft.routes) {
            if (route->attemptLimit > 1 && route->retrySafety == RetrySafety::Idempotent)
                add(FindingSeverity::Warning, "retries-without-budget", routePlace,
                    absl::StrCat("permits ", route->attemptLimit,
                                 " attempts, but the retry budget of the settings is 0"));
        }
    }

    std::vector<ReviewFinding> takeFindings()
    {
        std::stable_sort(m_findings.begin(), m_findings.end(),
                         [](const ReviewFinding &a, const ReviewFinding &b) {
                             return a.severity > b.severity;
                         });
        return std::move(m_findings);
    }

private:
    std::string named(const std::string &place) const
    {
        const auto it = m_draft.names.find(place);
        return it == m_draft.names.end() ? place : absl::StrCat(place, " (", it->second, ")");
    }

    void add(FindingSeverity severity, std::string kind, const std::string &place, std::string text)
    {
        m_findings.push_back({ severity, std::move(kind), named(place), std::move(text) });
    }

    /// A host name matches as a whole and byte for byte, a prefix byte for byte.
    void reviewMatch(const std::string &place, const TrafficRoute &route)
    {
        const std::string &host = route.hostName;
        const auto isOdd = [](char c) { return !absl::ascii_isgraph(c) || c == '/' || c == '*'; };
        if (host.empty())
            add(FindingSeverity::Error, "never-matches", place,
                "has no host: it matches only requests that name none");
        else if (std::any_of(host.begin(), host.end(), isOdd))
            add(FindingSeverity::Error, "never-matches", place,
                "has a host that is no name with an optional port; there are no wildcards");
        else if (std::any_of(host.begin(), host.end(), absl::ascii_isupper))
            add(FindingSeverity::Warning, "case-of-host", place,
                "has a host with capital letters, which clients usually send as small ones; names "
                "are compared byte for byte");
        const auto isNoPathByte = [](char c) {
            return !absl::ascii_isgraph(c) || c == '?' || c == '#';
        };
        if (std::any_of(route.prefix.begin(), route.prefix.end(), isNoPathByte))
            add(FindingSeverity::Error, "never-matches", place,
                "has a prefix with a byte that no path contains, such as '?', '#' or a space");
        else if (route.prefix.find("//") != std::string::npos
                 || route.prefix.find("/./") != std::string::npos
                 || route.prefix.find("/../") != std::string::npos)
            add(FindingSeverity::Warning, "dots-in-prefix", place,
                "has a prefix with '//', '/./' or '/../', which clients usually resolve before "
                "they send a path");
    }

    void reviewDestinations(const std::string &place, const TrafficRoute &route)
    {
        const auto hasNoWeight = [](const WeightedService &each) { return each.weight == 0; };
        std::set<ServiceId> services;
        for (const WeightedService &destination : route.destinations) {
            if (destination.weight < 0)
                add(FindingSeverity::Error, "negative-weight", place,
                    absl::StrCat("has a negative weight for '", destination.service.value(), "'"));
            if (!services.insert(destination.service).second)
                add(FindingSeverity::Warning, "service-twice", place,
                    absl::StrCat("names the service '", destination.service.value(),
                                 "' more than once"));
            else if (!hasService(destination.service))
                add(destination.weight == 0 ? FindingSeverity::Warning : FindingSeverity::Error,
                    "service-unknown", place,
                    absl::StrCat("leads to the service '", destination.service.value(),
                                 "', which has no entry"));
        }
        if (std::all_of(route.destinations.begin(), route.destinations.end(), hasNoWeight))
            add(FindingSeverity::Error, "weights-zero", place,
                absl::StrCat("has only weights of 0: all requests go to the first service, '",
                             route.destinations.front().service.value(), "'"));
    }

    bool hasService(const ServiceId &id) const
    {
        return std::any_of(m_draft.services.begin(), m_draft.services.end(),
                           [&](const auto &placed) { return placed.entry.id == id; });
    }

    void reviewTimes(const std::string &place, const TrafficRoute &route)
    {
        if (route.timeout <= absl::ZeroDuration())
            add(FindingSeverity::Error, "no-time", place,
                "has a timeout of 0: every request is answered 504");
        else if (route.latencyObjective > route.timeout)
            add(FindingSeverity::Warning, "objective-after-timeout", place,
                absl::StrCat("counts answers within ", absl::FormatDuration(route.latencyObjective),
                             " as in time, but times out after ",
                             absl::FormatDuration(route.timeout)));
    }

    void reviewUrgency(const std::string &place, int urgency)
    {
        if (urgency > LowestUrgency)
            add(FindingSeverity::Warning, "urgency-without-queue", place,
                absl::StrCat("has the urgency ", urgency, "; from ", LowestUrgency,
                             " on, all share one queue"));
    }

    void reviewQuota(const std::string &place, const AccountQuota &quota)
    {
        if (!quota.isLimited() && quota.burst > 0)
            add(FindingSeverity::Warning, "burst-without-rate", place,
                "has a burst but no rate: it has no quota at all");
        if (quota.isLimited() && quota.burst < 1)
            add(FindingSeverity::Warning, "burst-below-one", place,
                "has a burst below one request: of two requests at the same time one may be "
                "answered 429");
    }

    const ConfigurationDraft &m_draft;
    std::set<std::string> m_faultyPlaces;
    std::vector<ReviewFinding> m_findings;
};

} // namespace

std::shared_ptr<const RouteCatalogue> ConfigurationDraft::catalogue() const
{
    std::vector<SharedRoute> sharedRoutes;
    for (const auto &placed : routes)
        sharedRoutes.push_back(placed.entry);
    std::vector<TrafficService> usedServices;
    for (const auto &placed : services)
        usedServices.push_back(placed.entry);
    std::vector<SharedAccount> sharedAccounts;
    for (const auto &placed : accounts)
        sharedAccounts.push_back(placed.entry);
    return RouteCatalogue::create(version, std::move(sharedRoutes), std::move(usedServices), limits,
                                  std::move(sharedAccounts));
}

std::string_view name(FindingSeverity severity)
{
    return severity == FindingSeverity::Error ? "error" : "warning";
}

std::vector<ReviewFinding> reviewConfiguration(const ConfigurationDraft &draft)
{
    Reviewer reviewer(draft);
    reviewer.addDecoderFindings();
    reviewer.addRouteFindings();
    reviewer.addServiceFindings();
    reviewer.addAccountFindings();
    reviewer.addLimitFindings();
    return reviewer.takeFindings();
}

std::vector<ReviewFinding> reviewAgainstSettings(const ConfigurationDraft &draft,
                                                 const ReviewedSettings &settings)
{
    Reviewer reviewer(draft);
    reviewer.addSettingsFindings(settings);
    return reviewer.takeFindings();
}

} // namespace godwitlift
