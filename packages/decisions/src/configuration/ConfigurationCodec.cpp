/// \file
/// JSON encoding and decoding of configurations and deltas.
#include "godwitlift/configuration/ConfigurationCodec.h"

#include "godwitlift/base/Hashing.h"
#include "godwitlift/json/ObjectReader.h"

#include <absl/strings/str_cat.h>

namespace godwitlift {

namespace {

using nlohmann::json;

constexpr int MaxUrgency = 15;
constexpr std::uint64_t MaxQueueLimit = 100'000;
constexpr std::uint64_t MaxRequestLimitBytes = 64ULL << 20U;
constexpr std::uint64_t DefaultRequestLimitBytes = 1ULL << 20U;
constexpr absl::Duration DefaultDeadline = absl::Seconds(5);
constexpr absl::Duration MaxDeadline = absl::Hours(1);
constexpr absl::Duration DefaultStallTimeout = absl::Seconds(2);

json toJson(const Rank &rank)
{
    return json{ { "urgency", rank.urgency },
                 { "floor_share", rank.floorShare },
                 { "ceiling_share", rank.ceilingShare },
                 { "retry_ratio", rank.retryRatio },
                 { "queue_limit", rank.queueLimit } };
}

template<typename Ids>
json idArray(const Ids &ids)
{
    json array = json::array();
    for (const auto &id : ids)
        array.push_back(id.value());
    return array;
}

json toJson(const Service &service)
{
    json object{ { "slow_start_ms", absl::ToInt64Milliseconds(service.slowStart) } };
    if (!service.zones.empty())
        object["zones"] = idArray(service.zones);
    if (!service.withheldHosts.empty())
        object["withheld_hosts"] = idArray(service.withheldHosts);
    return object;
}

json toJson(const Route &route)
{
    const bool atMostOnce = route.repeatability == Repeatability::AtMostOnce;
    return json{ { "path_prefix", route.pathPrefix },
                 { "service", route.service.value() },
                 { "rank", route.rank.value() },
                 { "repeat", atMostOnce ? "at-most-once" : "allowed" },
                 { "deadline_ms", absl::ToInt64Milliseconds(route.deadline) },
                 { "stall_timeout_ms", absl::ToInt64Milliseconds(route.stallTimeout) },
                 { "request_limit_bytes", route.requestLimitBytes } };
}

template<typename Map>
json mapToJson(const Map &objects)
{
    json result = json::object();
    for (const auto &[id, object] : objects)
        result[id.value()] = toJson(object);
    return result;
}

json toJson(const Configuration &configuration)
{
    return json{ { "ranks", mapToJson(configuration.ranks) },
                 { "services", mapToJson(configuration.services) },
                 { "routes", mapToJson(configuration.routes) } };
}

Rank readRank(ObjectReader &reader, RankId id)
{
    Rank rank;
    rank.id = std::move(id);
    rank.urgency = static_cast<int>(reader.requiredInteger("urgency", 0, MaxUrgency));
    rank.floorShare = reader.number("floor_share", 0, 1, 0);
    rank.ceilingShare = reader.number("ceiling_share", 0, 1, 1);
    rank.retryRatio = reader.number("retry_ratio", 0, 1, 0.1);
    rank.queueLimit =
            static_cast<std::uint32_t>(reader.integer("queue_limit", 0, MaxQueueLimit, 64));
    return rank;
}

template<typename Id>
std::set<Id> readIds(ObjectReader &reader, std::string_view key)
{
    std::set<Id> ids;
    for (std::string &text : reader.texts(key)) {
        if (!isIdentifier(text))
            reader.addFault(key, absl::StrCat("not an identifier: ", text.substr(0, 64)));
        ids.insert(Id(std::move(text)));
    }
    return ids;
}

Service readService(ObjectReader &reader, ServiceId id)
{
    Service service;
    service.id = std::move(id);
    service.zones = readIds<ZoneId>(reader, "zones");
    service.withheldHosts = readIds<HostId>(reader, "withheld_hosts");
    service.slowStart = reader.milliseconds("slow_start_ms", absl::ZeroDuration(), absl::Hours(1),
                                            absl::ZeroDuration());
    return service;
}

Route readRoute(ObjectReader &reader, RouteId id)
{
    Route route;
    route.id = std::move(id);
    route.pathPrefix = reader.requiredText("path_prefix");
    if (!route.pathPrefix.empty() && !route.pathPrefix.starts_with('/'))
        reader.addFault("path_prefix", "must start with '/'");
    route.service = ServiceId(reader.requiredText("service"));
    route.rank = RankId(reader.requiredText("rank"));
    if (reader.choice("repeat", { "allowed", "at-most-once" }) == "at-most-once")
        route.repeatability = Repeatability::AtMostOnce;
    route.deadline =
            reader.milliseconds("deadline_ms", absl::Milliseconds(1), MaxDeadline, DefaultDeadline);
    route.stallTimeout = reader.milliseconds("stall_timeout_ms", absl::Milliseconds(1), MaxDeadline,
                                             DefaultStallTimeout);
    route.requestLimitBytes = reader.integer("request_limit_bytes", 0, MaxRequestLimitBytes,
                                             DefaultRequestLimitBytes);
    return route;
}

/// Reads the member \p key as a map of items, each read by \p readOne.
template<typename Id, typename Map, typename ReadOne>
void readMap(ObjectReader &parent, std::string_view key, Map &target, ReadOne readOne,
             std::vector<InputFault> &faults)
{
    const json *objects = parent.object(key);
    if (objects == nullptr)
        return;
    for (const auto &entry : objects->items()) {
        const std::string path = absl::StrCat(parent.pathOf(key), ".", entry.key());
        if (!isIdentifier(entry.key())) {
            faults.push_back({ path.substr(0, 128), "not an identifier" });
            continue;
        }
        ObjectReader reader(entry.value(), path, faults);
        target.emplace(Id(entry.key()), readOne(reader, Id(entry.key())));
        reader.reportUnknownKeys();
    }
}

Configuration readItems(ObjectReader &reader, std::vector<InputFault> &faults)
{
    Configuration read;
    readMap<RankId>(reader, "ranks", read.ranks, readRank, faults);
    readMap<ServiceId>(reader, "services", read.services, readService, faults);
    readMap<RouteId>(reader, "routes", read.routes, readRoute, faults);
    return read;
}

std::optional<ItemName> parseItemName(std::string_view text)
{
    for (const ItemKind kind : { ItemKind::Rank, ItemKind::Service, ItemKind::Route }) {
        const std::string prefix = ItemName{ kind, {} }.text();
        if (text.starts_with(prefix) && isIdentifier(text.substr(prefix.size())))
            return ItemName{ kind, std::string(text.substr(prefix.size())) };
    }
    return std::nullopt;
}

} // namespace

std::string encode(const Configuration &configuration)
{
    return toJson(configuration).dump();
}

std::string encode(const ConfigurationDelta &delta)
{
    json object = toJson(delta.puts);
    json removed = json::array();
    for (const ItemName &name : delta.removals)
        removed.push_back(name.text());
    object["remove"] = std::move(removed);
    return object.dump();
}

Digest digestOf(const Configuration &configuration)
{
    return digestOf(encode(configuration));
}

Result<Configuration> decodeConfiguration(std::string_view text)
{
    BOOST_LEAF_AUTO(document, parseJson(text));
    std::vector<InputFault> faults;
    ObjectReader reader(document, "", faults);
    Configuration configuration = readItems(reader, faults);
    reader.reportUnknownKeys();
    if (!faults.empty())
        return boost::leaf::new_error(InputError{ std::move(faults) });
    return configuration;
}

Result<ConfigurationDelta> decodeDelta(std::string_view text)
{
    BOOST_LEAF_AUTO(document, parseJson(text));
    std::vector<InputFault> faults;
    ObjectReader reader(document, "", faults);
    ConfigurationDelta delta;
    delta.puts = readItems(reader, faults);
    for (const std::string &name : reader.texts("remove")) {
        if (const auto item = parseItemName(name))
            delta.removals.insert(*item);
        else
            reader.addFault("remove", absl::StrCat("not an object name: ", name.substr(0, 64)));
    }
    reader.reportUnknownKeys();
    if (!faults.empty())
        return boost::leaf::new_error(InputError{ std::move(faults) });
    return delta;
}

} // namespace godwitlift
