/// \file
/// The settings' schema.
#include "godwitlift/adapters/NodeSettings.h"

#include "godwitlift/adapters/HttpServer.h"
#include "godwitlift/json/ObjectReader.h"

#include <absl/strings/str_cat.h>

namespace godwitlift {

namespace {

using nlohmann::json;

constexpr std::size_t SecretLength = 16;

Address readAddress(ObjectReader &reader, std::string_view key)
{
    Address address(reader.text(key));
    std::string ip;
    std::uint16_t port = 0;
    if (!address.isEmpty() && !splitAddress(address, ip, port))
        reader.fault(key, "expected an IP number and port, such as 10.1.2.3:7400");
    return address;
}

std::string readIdentifier(ObjectReader &reader, std::string_view key)
{
    std::string text = reader.text(key);
    if (!text.empty() && !isIdentifier(text))
        reader.fault(key, "expected letters, digits, '.', '_' or '-', 64 at most");
    return text;
}

void readListen(ObjectReader &reader, NodeSettings &settings, std::vector<InputFault> &faults)
{
    const json *object = reader.object("listen");
    if (object == nullptr) {
        if (!reader.has("listen"))
            reader.fault("listen", "missing");
        return;
    }
    ObjectReader listen(*object, reader.pathOf("listen"), faults);
    settings.peers = readAddress(listen, "peers");
    settings.calls = readAddress(listen, "calls");
    settings.operators = readAddress(listen, "operators");
    settings.local = readAddress(listen, "local");
    listen.finish();
}

void readOperators(ObjectReader &reader, NodeSettings &settings, std::vector<InputFault> &faults)
{
    const json *object = reader.object("operators");
    if (object == nullptr)
        return;
    ObjectReader operators(*object, reader.pathOf("operators"), faults);
    for (const auto &entry : object->items()) {
        const std::string token = operators.text(entry.key());
        if (!token.empty() && token.size() < SecretLength)
            operators.fault(entry.key(),
                            absl::StrCat("a token has ", SecretLength, " characters or more"));
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
        settings.platform = PlatformKind::Network;
        settings.network.tableServiceUrl = platform.text("table_url");
        settings.network.objectStoreUrl = platform.text("object_url");
        settings.network.tableName = platform.textOr("table", "godwitlift");
        settings.network.bucket = platform.textOr("bucket", "godwitlift");
        settings.network.region = platform.textOr("region", "local");
        settings.network.accessKey = platform.textOr("access_key", "");
        settings.network.secretKey = platform.textOr("secret_key", "");
        settings.network.requestTimeout = platform.milliseconds(
                "timeout_ms", absl::Milliseconds(10), absl::Minutes(1), absl::Seconds(2));
    }
    platform.finish();
}

void readLimits(ObjectReader &reader, NodeSettings &settings, std::vector<InputFault> &faults)
{
    const json *object = reader.object("limits");
    if (object == nullptr)
        return;
    constexpr std::uint64_t BodyCeilingBytes = 64ULL << 20U;
    ObjectReader limits(*object, reader.pathOf("limits"), faults);
    settings.ingress.callLimit = limits.integer("calls", 1, 1'000'000, settings.ingress.callLimit);
    settings.ingress.attemptLimit = static_cast<std::uint32_t>(
            limits.integer("attempts", 1, 10, settings.ingress.attemptLimit));
    settings.requestLimitBytes =
            limits.integer("request_bytes", 1, BodyCeilingBytes, settings.requestLimitBytes);
    settings.ingress.claimsPerSecond =
            limits.number("claims_per_second", 0.01, 1000, settings.ingress.claimsPerSecond);
    settings.shutdownTimeout = limits.milliseconds("shutdown_timeout_ms", absl::ZeroDuration(),
                                                   absl::Hours(24), settings.shutdownTimeout);
    limits.finish();
}

void readControl(ObjectReader &reader, NodeSettings &settings, std::vector<InputFault> &faults)
{
    const json *object = reader.object("control");
    if (object == nullptr)
        return;
    ObjectReader control(*object, reader.pathOf("control"), faults);
    const auto low = absl::Milliseconds(50);
    const auto high = absl::Minutes(1);
    RelayTreePolicy &follow = settings.control.follow;
    follow.heartbeatPeriod =
            control.milliseconds("heartbeat_period_ms", low, high, follow.heartbeatPeriod);
    if (control.choice("fan_out", { "tree", "flat" }) == "flat")
        follow.shape = FanOutShape::Flat;
    PublishingPolicy &publishing = settings.control.publishing;
    publishing.pollPeriod =
            control.milliseconds("poll_period_ms", low, high, publishing.pollPeriod);
    publishing.retainedVersions =
            control.integer("retained_versions", 64, 1'000'000, publishing.retainedVersions);
    settings.control.joinTimeout =
            control.milliseconds("join_timeout_ms", low, high, settings.control.joinTimeout);
    control.finish();
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
    readListen(reader, settings, faults);
    settings.identity.address = settings.peers;
    for (const std::string &seed : reader.texts("seeds")) {
        std::string ip;
        std::uint16_t port = 0;
        if (!splitAddress(Address(seed), ip, port))
            reader.fault("seeds", "expected an IP number and port: " + seed.substr(0, 64));
        settings.identity.seeds.emplace_back(seed);
    }
    settings.meshSecret = reader.text("mesh_secret");
    if (!settings.meshSecret.empty() && settings.meshSecret.size() < SecretLength)
        reader.fault("mesh_secret", absl::StrCat("has ", SecretLength, " characters or more"));
    readOperators(reader, settings, faults);
    readPlatform(reader, settings, faults);
    readLimits(reader, settings, faults);
    readControl(reader, settings, faults);
    reader.finish();
    if (!faults.empty())
        return boost::leaf::new_error(InputError{ std::move(faults) });
    return settings;
}

} // namespace godwitlift
