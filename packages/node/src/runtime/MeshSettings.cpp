/// \file
/// Checked JSON settings of a mesh node.
#include "godwitlift/node/MeshSettings.h"

#include "godwitlift/json/ObjectReader.h"
#include "http/Network.h"

namespace godwitlift {

namespace {

Address addressOf(ObjectReader &reader, std::string_view key)
{
    std::string text = reader.requiredText(key);
    if (!text.empty() && !parseEndpoint(text))
        reader.addFault(key, "is no IP:port");
    return Address(std::move(text));
}

absl::Duration durationOf(ObjectReader &reader, std::string_view key)
{
    const std::string text = reader.requiredText(key);
    absl::Duration duration;
    if (!text.empty()
        && (!absl::ParseDuration(text, &duration) || duration <= absl::ZeroDuration()))
        reader.addFault(key, "is no positive duration such as \"1500ms\"");
    return duration;
}

void readLimits(const nlohmann::json &object, MeshSettings &settings,
                std::vector<InputFault> &faults)
{
    ObjectReader reader(object, "limits", faults);
    settings.descriptorLimit = reader.requiredInteger("descriptors", 256, 1'000'000);
    settings.linkMbps = static_cast<std::uint32_t>(reader.number("link_mbps", 0, 1e6, 0));
    reader.reportUnknownKeys();
}

void readBounds(const nlohmann::json &object, MeshSettings &settings,
                std::vector<InputFault> &faults)
{
    ObjectReader reader(object, "bounds", faults);
    settings.announcementInterval = durationOf(reader, "announcement_interval");
    settings.stopTimeout = durationOf(reader, "stop_timeout");
    settings.retryRule.ratio = reader.number("retry_ratio", 0, 10, 0);
    settings.retryRule.slack = reader.number("retry_slack", 0, 1e6, 0);
    settings.retryRule.window = durationOf(reader, "retry_window");
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
    settings.backendServerAddress = addressOf(reader, "backend_server");
    if (const auto *listen = reader.object("listen")) {
        ObjectReader addresses(*listen, "listen", faults);
        settings.clientAddress = addressOf(addresses, "clients");
        settings.readinessAddress = addressOf(addresses, "readiness");
        settings.announcementAddress = addressOf(addresses, "announcements");
        settings.peerAddress = addressOf(addresses, "peers");
        settings.metricsAddress = addressOf(addresses, "metrics");
        settings.advertisedPeerAddress = addresses.has("advertised_peers")
                                                 ? addressOf(addresses, "advertised_peers")
                                                 : settings.peerAddress;
        addresses.reportUnknownKeys();
    }
    settings.storeAddress = addressOf(reader, "store");
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
