/// \file
/// Dispatch of platform requests to the platform services.
#include "godwitlift/platform/Platform.h"

namespace godwitlift {

namespace {

/// Calls the service method for the type of the operation.
struct Dispatch
{
    TableService &table;
    ObjectStore &objects;

    PlatformAnswer operator()(const FetchRow &request) const { return table.fetch(request); }
    PlatformAnswer operator()(const ScanRows &request) const { return table.scan(request); }
    PlatformAnswer operator()(const Transact &request) const { return table.transact(request); }
    PlatformAnswer operator()(const PutObject &request) const { return objects.put(request); }
    PlatformAnswer operator()(const FetchObject &request) const { return objects.fetch(request); }
    PlatformAnswer operator()(const RemoveObject &request) const { return objects.remove(request); }
};

} // namespace

std::string_view name(PlatformOutcome outcome)
{
    switch (outcome) {
    case PlatformOutcome::Ok:
        return "ok";
    case PlatformOutcome::NotFound:
        return "not-found";
    case PlatformOutcome::ConditionFailed:
        return "condition-failed";
    case PlatformOutcome::Unavailable:
        return "unavailable";
    case PlatformOutcome::Unknown:
        break;
    }
    return "unknown";
}

PlatformAnswer execute(const PlatformRequest &request, TableService &table, ObjectStore &objects)
{
    PlatformAnswer answer = std::visit(Dispatch{ table, objects }, request.operation);
    answer.id = request.id;
    return answer;
}

} // namespace godwitlift
