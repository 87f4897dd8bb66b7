/// \file
/// The two services of the platform as narrow interfaces.
#pragma once

#include "godwitlift/platform/PlatformMessages.h"

namespace godwitlift {

/// Transactional table service. Implementations are thread-safe and may block for the request.
class TableService
{
public:
    virtual ~TableService() = default;
    virtual PlatformAnswer fetch(const FetchRow &request) = 0;
    virtual PlatformAnswer scan(const ScanRows &request) = 0;
    virtual PlatformAnswer transact(const Transact &request) = 0;
};

/// Object store. Implementations are thread-safe and may block for the request.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;
    virtual PlatformAnswer put(const PutObject &request) = 0;
    virtual PlatformAnswer fetch(const FetchObject &request) = 0;
    virtual PlatformAnswer remove(const RemoveObject &request) = 0;
};

/// Leads \p request to the service it concerns and returns the answer under the request's id.
PlatformAnswer execute(const PlatformRequest &request, TableService &table, ObjectStore &objects);

} // namespace godwitlift
