/// \file
/// Sockets and time.
#include "http/Network.h"

#include <boost/asio/ip/address.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <ctime>

namespace godwitlift {

namespace {

/// Silence after which a connection is probed, and the pause between probes, in seconds. Three
/// seconds in all, since requests on a silent connection have about that long to go elsewhere.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;
/// Longest time that sent bytes may stay unacknowledged, in milliseconds.
constexpr unsigned UserTimeoutMs = 3000;

template<typename T>
void setOption(TcpSocket &socket, int level, int option, T value)
{
    // An option that the kernel refuses leaves the connection usable; silence then shows later.
    (void)::setsockopt(socket.native_handle(), level, option, &value, sizeof value);
}

} // namespace

absl::Time steadyNow()
{
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return absl::UnixEpoch()
           + absl::Nanoseconds(std::chrono::duration_cast<std::chrono::nanoseconds>(since).count());
}

absl::Duration suspendAwareClock()
{
    timespec now{};
    (void)::clock_gettime(CLOCK_BOOTTIME, &now); // Cannot fail for a clock that the system has.
    return absl::DurationFromTimespec(now);
}

void closeAbruptly(TcpSocket &socket)
{
    setOption(socket, SOL_SOCKET, SO_LINGER, linger{ 1, 0 });
    boost::system::error_code ignored; // The connection is given up either way.
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
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMs);
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
