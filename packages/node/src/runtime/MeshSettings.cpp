/// \file
/// Decodes and validates the JSON settings of a mesh node.
#include "godwitlift/node/MeshSettings.h"

#include "godwitlift/json/ObjectReader.h"
#include "godwitlift/traffic/ConfigurationLease.h"
#include "http/Network.h"

namespace godwitlift {

namespace {

/// Memory of the smallest hosts.
constexpr double DefaultMemoryMb = 160;
constexpr double BytesPerMb = 1e6;

Address readAddress(ObjectReader &reader, std::string_view key)
{
    std::string text = reader.requiredText(key);
    if (!text.empty() && !parseEndpoint(text))
        reader.addFault(key, "is not an IP:port address");
    return Address(std::move(text));
}

absl::Duration readDuration(ObjectReader &reader, std::string_view key)
{
    const std::string text = reader.requiredText(key);
    absl::Duration duration;
    if (!text.empty()
        && (!absl::ParseDuration(text, &duration) || duration <= absl::ZeroDuration()))
        reader.addFault(key, "is not a positive duration such as \"1500ms\"");
    return duration;
}

void readLimits(const nlohmann::json &object, MeshSettings &settings,
                std::vector<InputFault> &faults)
{
    ObjectReader reader(object, "limits", faults);
    settings.descriptorLimit = reader.requiredInteger("descriptors", 256, 1'000'000);
    settings.linkMbps = static_cast<std::uint32_t>(reader.number("link_mbps", 0, 1e6, 0));
    settings.memoryBytes = static_cast<std::size_t>(
            reader.number("memory_mb", 32, 1e6, DefaultMemoryMb) * BytesPerMb);
    reader.reportUnknownKeys();
}

void readBounds(const nlohmann::json &object, MeshSettings &settings,
                std::vector<InputFault> &faults)
{
    ObjectReader reader(object, "bounds", faults);
    settings.announcementInterval = readDuration(reader, "announcement_interval");
    settings.stopTimeout = readDuration(reader, "stop_timeout");
    if (reader.has("configuration_apply_limit")) {
        settings.configurationApplyLimit = readDuration(reader, "configuration_apply_limit");
        std::string problem;
        if (!valueOrErrorText(
                    [&] { return ConfigurationLease::create(settings.configurationApplyLimit); },
                    problem))
            reader.addFault("configuration_apply_limit", problem);
    }
    settings.retryRule.ratio = reader.number("retry_ratio", 0, 10, 0);
    settings.retryRule.slack = reader.number("retry_slack", 0, 1e6, 0);
    settings.retryRule.window = readDuration(reader, "retry_window");
    settings.revocation.isStrict = reader.flag("strict_revocation", false);
    if (reader.has("revocation_limit"))
        settings.revocation.limit = readDuration(reader, "revocation_limit");
    if (settings.revocation.isStrict && settings.revocation.limit == absl::InfiniteDuration())
        reader.addFault("strict_revocation", "needs a revocation_limit");
    if (reader.has("quota_window"))
        settings.quota.window = readDuration(reader, "quota_window");
    settings.quota.excessShare = reader.number("quota_excess_share", 0, 10, 0);
    settings.quota.excessSlack = reader.number("quota_excess_slack", 0, 1e6, 0);
    settings.rollout.exposureShare = reader.number("exposure_share", 0, 1, 0.1);
    settings.rollout.exposureSlack = reader.number("exposure_slack", 0, 1e6, 0);
    if (reader.has("rollback_limit"))
        settings.rollout.rollbackLimit = readDuration(reader, "rollback_limit");
    reader.reportUnknownKeys();
}

} // namespace

Result<MeshSettings> decodeMeshSettings(std::string_view text)
{
    BOOST_LEAF_AUTO(document, parseJson(text));
    std::vector<InputFault> faults;
    MeshSettings settings;
    ObjectReader reader(document, "", faults);
    settings.host = HostId(reader.requiredText("host"));
    settings.zone = ZoneId(reader.requiredText("availability_zone"));
    settings.service = ServiceId(reader.requiredText("service"));
    settings.backendServerAddress = readAddress(reader, "backend_server");
    if (const auto *listen = reader.object("listen")) {
        ObjectReader addresses(*listen, "listen", faults);
        settings.clientAddress = readAddress(addresses, "clients");
        settings.readinessAddress = readAddress(addresses, "readiness");
        settings.announcementAddress = readAddress(addresses, "announcements");
        settings.peerAddress = readAddress(addresses, "peers");
        settings.metricsAddress = readAddress(addresses, "metrics");
        settings.advertisedPeerAddress = addresses.has("advertised_peers")
                                                 ? readAddress(addresses, "advertised_peers")
                                                 : settings.peerAddress;
        addresses.reportUnknownKeys();
    }
    settings.storeAddress = readAddress(reader, "store");
    settings.isFirstStart = reader.flag("first_start", false);
    if (const auto *limits = reader.object("limits"))
        readLimits(*limits, settings, faults);
    if (const auto *bounds = reader.object("bounds"))
        readBounds(*bounds, settings, faults);
    reader.reportUnknownKeys();
    if (!faults.empty())
        return boost::leaf::new_error(InputError{ std::move(faults) });
    return settings;
}

} // namespace godwitlift
