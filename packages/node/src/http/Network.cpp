/// \file
/// Socket options, clocks and endpoint parsing.
#include "http/Network.h"

#include <boost/asio/ip/address.hpp>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <ctime>

namespace godwitlift {

namespace {

/// Idle time before the first keep-alive probe, and the interval between probes. An unresponsive
/// peer is detected after 3 s in all, about the time that its requests have left to be retried
/// elsewhere.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbeCount = 2;
/// Longest time that sent bytes may stay unacknowledged, in milliseconds.
constexpr unsigned TcpUserTimeoutMs = 3000;

template<typename T>
void setOption(TcpSocket &socket, int level, int option, T value)
{
    // Without the option the connection stays usable, but an unresponsive peer may be detected
    // later.
    (void)::setsockopt(socket.native_handle(), level, option, &value, sizeof value);
}

} // namespace

absl::Time steadyNow()
{
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return absl::UnixEpoch()
           + absl::Nanoseconds(
                   std::chrono::duration_cast<std::chrono::nanoseconds>(sinceEpoch).count());
}

absl::Duration suspendAwareNow()
{
    timespec now{};
    (void)::clock_gettime(CLOCK_BOOTTIME, &now); // Cannot fail for a supported clock.
    return absl::DurationFromTimespec(now);
}

std::size_t unacknowledgedBytes(TcpSocket &socket)
{
    int bytes = 0;
    if (!socket.is_open() || ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0)
        return 0;
    return static_cast<std::size_t>(std::max(bytes, 0));
}

void resetConnection(TcpSocket &socket)
{
    setOption(socket, SOL_SOCKET, SO_LINGER, linger{ 1, 0 });
    boost::system::error_code ignored; // The connection is discarded either way.
    socket.close(ignored);
}

std::optional<asio::ip::tcp::endpoint> parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    boost::system::error_code error;
    const auto address = asio::ip::make_address(text.substr(0, colon), error);
    std::uint16_t port = 0;
    const char *first = text.data() + colon + 1;
    const char *last = text.data() + text.size();
    const auto parsed = std::from_chars(first, last, port);
    if (error || parsed.ec != std::errc() || parsed.ptr != last || port == 0)
        return std::nullopt;
    return asio::ip::tcp::endpoint(address, port);
}

void configureConnection(TcpSocket &socket)
{
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbeCount);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, TcpUserTimeoutMs);
}

void expireAfter(LoopTimer &timer, absl::Duration delay)
{
    timer.expires_after(absl::ToChronoNanoseconds(std::max(delay, absl::ZeroDuration())));
}

char *ReadScratch::data()
{
    static thread_local char buffer[Size];
    return buffer;
}

} // namespace godwitlift
