/// \file
/// Decodes the node settings and checks them against their schema.
#include "godwitlift/adapters/NodeSettings.h"

#include "godwitlift/adapters/HttpServer.h"
#include "godwitlift/json/ObjectReader.h"

#include <absl/strings/str_cat.h>

namespace godwitlift {

namespace {

using nlohmann::json;

constexpr std::size_t MinSecretLength = 16;

Address readAddress(ObjectReader &reader, std::string_view key)
{
    Address address(reader.requiredText(key));
    std::string ip;
    std::uint16_t port = 0;
    if (!address.isEmpty() && !splitAddress(address, ip, port))
        reader.addFault(key, "expected an IP address and port, such as 10.1.2.3:7400");
    return address;
}

std::string readIdentifier(ObjectReader &reader, std::string_view key)
{
    std::string text = reader.requiredText(key);
    if (!text.empty() && !isIdentifier(text))
        reader.addFault(key, "expected at most 64 letters, digits, '.', '_' or '-'");
    return text;
}

void readListenAddresses(ObjectReader &reader, NodeSettings &settings,
                         std::vector<InputFault> &faults)
{
    const json *object = reader.object("listen");
    if (object == nullptr) {
        if (!reader.has("listen"))
            reader.addFault("listen", "missing");
        return;
    }
    ObjectReader listen(*object, reader.pathOf("listen"), faults);
    settings.peerAddress = readAddress(listen, "peers");
    settings.callerAddress = readAddress(listen, "calls");
    settings.operatorAddress = readAddress(listen, "operators");
    settings.localApiAddress = readAddress(listen, "local");
    listen.reportUnknownKeys();
}

void readOperators(ObjectReader &reader, NodeSettings &settings, std::vector<InputFault> &faults)
{
    const json *object = reader.object("operators");
    if (object == nullptr)
        return;
    ObjectReader operators(*object, reader.pathOf("operators"), faults);
    for (const auto &entry : object->items()) {
        const std::string token = operators.requiredText(entry.key());
        if (!token.empty() && token.size() < MinSecretLength)
            operators.addFault(entry.key(), absl::StrCat("a token must have at least ",
                                                         MinSecretLength, " characters"));
        settings.operatorCredentials.push_back({ entry.key(), token });
    }
}

void readPlatform(ObjectReader &reader, NodeSettings &settings, std::vector<InputFault> &faults)
{
    const json *object = reader.object("platform");
    if (object == nullptr)
        return;
    ObjectReader platform(*object, reader.pathOf("platform"), faults);
    if (platform.choice("kind", { "memory", "network" }) == "network") {
        settings.platformKind = PlatformKind::Network;
        settings.networkPlatform.tableServiceUrl = platform.requiredText("table_url");
        settings.networkPlatform.objectStoreUrl = platform.requiredText("object_url");
        settings.networkPlatform.tableName = platform.textOr("table", "godwitlift");
        settings.networkPlatform.bucket = platform.textOr("bucket", "godwitlift");
        settings.networkPlatform.region = platform.textOr("region", "local");
        settings.networkPlatform.accessKey = platform.textOr("access_key", "");
        settings.networkPlatform.secretKey = platform.textOr("secret_key", "");
        settings.networkPlatform.requestTimeout = platform.milliseconds(
                "timeout_ms", absl::Milliseconds(10), absl::Minutes(1), absl::Seconds(2));
    }
    platform.reportUnknownKeys();
}

void readLimits(ObjectReader &reader, NodeSettings &settings, std::vector<InputFault> &faults)
{
    const json *object = reader.object("limits");
    if (object == nullptr)
        return;
    constexpr std::uint64_t MaxRequestLimitBytes = 64ULL << 20U;
    ObjectReader limits(*object, reader.pathOf("limits"), faults);
    settings.ingressPolicy.callLimit =
            limits.integer("calls", 1, 1'000'000, settings.ingressPolicy.callLimit);
    settings.ingressPolicy.attemptLimit = static_cast<std::uint32_t>(
            limits.integer("attempts", 1, 10, settings.ingressPolicy.attemptLimit));
    settings.requestLimitBytes =
            limits.integer("request_bytes", 1, MaxRequestLimitBytes, settings.requestLimitBytes);
    settings.ingressPolicy.claimsPerSecond =
            limits.number("claims_per_second", 0.01, 1000, settings.ingressPolicy.claimsPerSecond);
    settings.shutdownTimeout = limits.milliseconds("shutdown_timeout_ms", absl::ZeroDuration(),
                                                   absl::Hours(24), settings.shutdownTimeout);
    limits.reportUnknownKeys();
}

void readControl(ObjectReader &reader, NodeSettings &settings, std::vector<InputFault> &faults)
{
    const json *object = reader.object("control");
    if (object == nullptr)
        return;
    ObjectReader control(*object, reader.pathOf("control"), faults);
    const auto minPeriod = absl::Milliseconds(50);
    const auto maxPeriod = absl::Minutes(1);
    RelayTreePolicy &treePolicy = settings.controlPolicy.relayTree;
    treePolicy.heartbeatPeriod = control.milliseconds("heartbeat_period_ms", minPeriod, maxPeriod,
                                                      treePolicy.heartbeatPeriod);
    if (control.choice("fan_out", { "tree", "flat" }) == "flat")
        treePolicy.shape = FanOutShape::Flat;
    PublishingPolicy &publishingPolicy = settings.controlPolicy.publishing;
    publishingPolicy.pollPeriod = control.milliseconds("poll_period_ms", minPeriod, maxPeriod,
                                                       publishingPolicy.pollPeriod);
    publishingPolicy.retainedVersions =
            control.integer("retained_versions", 64, 1'000'000, publishingPolicy.retainedVersions);
    settings.controlPolicy.joinTimeout = control.milliseconds(
            "join_timeout_ms", minPeriod, maxPeriod, settings.controlPolicy.joinTimeout);
    control.reportUnknownKeys();
}

} // namespace

Result<NodeSettings> decodeNodeSettings(std::string_view text)
{
    BOOST_LEAF_AUTO(document, parseJson(text));
    std::vector<InputFault> faults;
    ObjectReader reader(document, "", faults);
    NodeSettings settings;
    settings.identity.host = HostId(readIdentifier(reader, "host"));
    settings.identity.zone = ZoneId(readIdentifier(reader, "zone"));
    settings.identity.region = RegionId(readIdentifier(reader, "region"));
    readListenAddresses(reader, settings, faults);
    settings.identity.address = settings.peerAddress;
    for (const std::string &seed : reader.texts("seeds")) {
        std::string ip;
        std::uint16_t port = 0;
        if (!splitAddress(Address(seed), ip, port))
            reader.addFault("seeds",
                            "expected an IP address and port, found: " + seed.substr(0, 64));
        settings.identity.seeds.emplace_back(seed);
    }
    settings.meshSecret = reader.requiredText("mesh_secret");
    if (!settings.meshSecret.empty() && settings.meshSecret.size() < MinSecretLength)
        reader.addFault("mesh_secret",
                        absl::StrCat("must have at least ", MinSecretLength, " characters"));
    readOperators(reader, settings, faults);
    readPlatform(reader, settings, faults);
    readLimits(reader, settings, faults);
    readControl(reader, settings, faults);
    reader.reportUnknownKeys();
    if (!faults.empty())
        return boost::leaf::new_error(InputError{ std::move(faults) });
    return settings;
}

} // namespace godwitlift
