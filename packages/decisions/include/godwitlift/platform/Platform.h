/// \file
/// Interfaces of the two platform services: the table service and the object store.
#pragma once

#include "godwitlift/platform/PlatformMessages.h"

namespace godwitlift {

/// Transactional table service. Implementations are thread-safe; calls may block.
class TableService
{
public:
    virtual ~TableService() = default;
    virtual PlatformAnswer fetch(const FetchRow &request) = 0;
    virtual PlatformAnswer scan(const ScanRows &request) = 0;
    virtual PlatformAnswer transact(const Transact &request) = 0;
};

/// Object store. Implementations are thread-safe; calls may block.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;
    virtual PlatformAnswer put(const PutObject &request) = 0;
    virtual PlatformAnswer fetch(const FetchObject &request) = 0;
    virtual PlatformAnswer remove(const RemoveObject &request) = 0;
};

/// Dispatches \p request to the table service or object store. The answer has the request's id.
PlatformAnswer execute(const PlatformRequest &request, TableService &table, ObjectStore &objects);

} // namespace godwitlift
